package io.verbenacleat.entry.request;

import java.util.HashMap;
import java.util.Map;

import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.WorkspaceWeight;
import org.jspecify.annotations.Nullable;

/**
 * Bounds what each account and workspace has in progress at this entry. Below half of the
 * limit of the entry any workspace may use it; above, each has a share by its weight
 * among the workspaces in progress. Safe for use by several threads.
 */
final class ShareLimiter {

	private final Map<String, Integer> accounts = new HashMap<>();

	private final Map<String, Integer> workspaces = new HashMap<>();

	private int total;

	/**
	 * Counts a request, unless a limit is reached.
	 * @param limits the limits in force
	 * @param account the account
	 * @param workspace the workspace of the account
	 * @return {@code null} when the request was counted; {@link #release} ends it
	 */
	@Nullable
	synchronized Refusal tryAdmit(LimitsConfig limits, String account, String workspace) {
		int accountRequests = this.accounts.getOrDefault(account, 0);
		if (limits.maxInProgressPerAccount() > 0 && accountRequests >= limits.maxInProgressPerAccount()) {
			return Refusal
				.notRun(RefusalCode.ACCOUNT_OVERLOADED, "The account has as many requests in progress as it may.")
				.withRetryAfterMs(limits.retryAfterMs());
		}
		int workspaceRequests = this.workspaces.getOrDefault(workspace, 0);
		if (2L * this.total >= limits.maxInProgress() && workspaceRequests >= share(limits, workspace)) {
			return Refusal
				.notRun(RefusalCode.WORKSPACE_OVERLOADED, "The workspace has its share of requests in progress.")
				.withRetryAfterMs(limits.retryAfterMs());
		}
		this.accounts.put(account, accountRequests + 1);
		this.workspaces.put(workspace, workspaceRequests + 1);
		this.total++;
		return null;
	}

	/**
	 * Ends a request that was counted.
	 * @param account the account
	 * @param workspace the workspace
	 */
	synchronized void release(String account, String workspace) {
		this.accounts.computeIfPresent(account, (name, count) -> (count > 1) ? count - 1 : null);
		this.workspaces.computeIfPresent(workspace, (name, count) -> (count > 1) ? count - 1 : null);
		this.total--;
	}

	private double share(LimitsConfig limits, String workspace) {
		int own = WorkspaceWeight.of(limits.workspaceWeights(), workspace);
		int weights = (this.workspaces.containsKey(workspace)) ? 0 : own;
		for (String active : this.workspaces.keySet()) {
			weights += WorkspaceWeight.of(limits.workspaceWeights(), active);
		}
		return (double) limits.maxInProgress() * own / weights;
	}

}
