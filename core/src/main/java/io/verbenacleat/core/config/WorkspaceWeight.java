package io.verbenacleat.core.config;

import java.util.List;

/**
 * The weight of a workspace. Workspaces that compete for capacity get shares of it in
 * proportion to their weights. Immutable.
 *
 * @param name the name of the workspace
 * @param weight the weight, 1 or more
 */
public record WorkspaceWeight(String name, int weight) {

	/** The weight of a workspace that is not listed. */
	public static final int DEFAULT = 1;

	/**
	 * Returns the weight of a workspace.
	 * @param weights the configured weights
	 * @param workspace the name of the workspace
	 * @return its weight, or {@link #DEFAULT} if it is not listed
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
