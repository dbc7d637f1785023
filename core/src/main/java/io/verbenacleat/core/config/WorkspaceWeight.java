package io.verbenacleat.core.config;

import java.util.List;

/**
 * The weight of a workspace where several compete for a backend server. Immutable.
 *
 * @param name the workspace
 * @param weight the weight, 1 or more
 */
public record WorkspaceWeight(String name, int weight) {

	/** The weight of a workspace that is not listed. */
	public static final int DEFAULT = 1;

	/**
	 * Finds the weight of a workspace.
	 * @param weights the list
	 * @param workspace the workspace
	 * @return its weight, {@link #DEFAULT} when it is not listed
	 */
	public static int weightOf(List<WorkspaceWeight> weights, String workspace) {
		for (WorkspaceWeight entry : weights) {
			if (entry.name().equals(workspace)) {
				return entry.weight();
			}
		}
		return DEFAULT;
	}

}
