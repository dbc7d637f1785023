package io.verbenacleat.router.balance;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The policies that a router can use to select the servers of model services.
 */
public enum SelectionKind {

	/** {@link PrefixAffinitySelection} before {@link LeastLoadedSelection}. */
	LEAST_LOADED,

	/** {@link ExpectedTimeSelection}. */
	EXPECTED_TIME;

	/**
	 * Returns the name in settings.
	 * @return the name
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Finds a policy by its name in settings.
	 * @param label the name
	 * @return the policy, empty for an unknown name
	 */
	public static Optional<SelectionKind> find(String label) {
		return Arrays.stream(values()).filter((kind) -> kind.label().equals(label)).findFirst();
	}

	/**
	 * Returns the names of all policies in settings.
	 * @return the names
	 */
	public static List<String> labels() {
		return Arrays.stream(values()).map(SelectionKind::label).toList();
	}

}
