package io.verbenacleat.ctl;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import io.verbenacleat.core.config.ConfigException;
import io.verbenacleat.core.config.ConfigProblem;
import io.verbenacleat.core.json.Json;
import org.jspecify.annotations.Nullable;

/**
 * The printed form of a failure: lines of text or one JSON object. Immutable.
 *
 * @param error the kind of failure
 * @param message what failed
 * @param problems the problems of configuration files, {@code null} for other failures
 */
record ErrorReport(String error, String message, @Nullable List<ConfigProblem> problems) {

	static ErrorReport of(Exception failure) {
		String kind = failure.getClass()
			.getSimpleName()
			.replaceFirst("Exception$", "")
			.replaceAll("(?<=[a-z])(?=[A-Z])", "-")
			.toLowerCase(Locale.ROOT);
		String message = String.valueOf(failure.getMessage());
		List<ConfigProblem> problems = (failure instanceof ConfigException config) ? config.problems() : null;
		return new ErrorReport(kind, message, problems);
	}

	void print(PrintStream err, boolean json) {
		if (json) {
			err.println(Json.write(this));
		}
		else if (this.problems != null) {
			this.problems.forEach((problem) -> err.println("verbenactl: " + problem));
		}
		else {
			err.println("verbenactl: " + this.message.strip().replaceAll("\\p{Cntrl}+", " "));
		}
	}

}
