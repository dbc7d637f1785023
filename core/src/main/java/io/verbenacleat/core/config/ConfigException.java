package io.verbenacleat.core.config;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown if configuration files are rejected. The message has one line for each problem.
 */
public final class ConfigException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient List<ConfigProblem> problems;

	/**
	 * Creates an exception.
	 * @param problems all problems that were found, at least one
	 */
	public ConfigException(List<ConfigProblem> problems) {
		super(problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
		this.problems = List.copyOf(problems);
	}

	/**
	 * Returns the problems as text.
	 * @return one line for each problem
	 */
	@Override
	public String getMessage() {
		return String.valueOf(super.getMessage());
	}

	/**
	 * Returns the problems.
	 * @return all problems that were found, at least one
	 */
	public List<ConfigProblem> problems() {
		return this.problems;
	}

}
