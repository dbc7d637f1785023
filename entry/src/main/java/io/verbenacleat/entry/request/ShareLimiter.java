package io.verbenacleat.entry.request;

import java.util.HashMap;
import java.util.Map;

import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.WorkspaceWeight;
import org.jspecify.annotations.Nullable;

/**
 * Limits the requests that each account and workspace has in progress at this entry. A
 * workspace is limited only while at least half of the limit of the entry is in use; its
 * share is then proportional to its weight among the workspaces with requests in
 * progress. Safe for use by several threads.
 */
final class ShareLimiter {

	private final Map<String, Integer> accounts = new HashMap<>();

	private final Map<String, Integer> workspaces = new HashMap<>();

	private int total;

	/**
	 * Admits a request unless a limit is reached.
	 * @param limits the current limits
	 * @param account the account
	 * @param workspace the workspace of the account
	 * @return {@code null} if the request was admitted and {@link #release} must be
	 * called at its end, otherwise the refusal
	 */
	@Nullable
	synchronized Refusal tryAdmit(LimitsConfig limits, String account, String workspace) {
		int accountRequests = this.accounts.getOrDefault(account, 0);
		if (limits.maxInProgressPerAccount() > 0 && accountRequests >= limits.maxInProgressPerAccount()) {
			return Refusal
				.notRun(RefusalCode.ACCOUNT_OVERLOADED, "The account has reached its limit of requests in progress.")
				.withRetryAfterMs(limits.retryAfterMs());
		}
		int workspaceRequests = this.workspaces.getOrDefault(workspace, 0);
		if (2L * this.total >= limits.maxInProgress() && workspaceRequests >= share(limits, workspace)) {
			return Refusal
				.notRun(RefusalCode.WORKSPACE_OVERLOADED,
						"The workspace has reached its share of the requests in progress.")
				.withRetryAfterMs(limits.retryAfterMs());
		}
		this.accounts.put(account, accountRequests + 1);
		this.workspaces.put(workspace, workspaceRequests + 1);
		this.total++;
		return null;
	}

	/**
	 * Removes an admitted request from the requests in progress.
	 * @param account the account
	 * @param workspace the workspace
	 */
	synchronized void release(String account, String workspace) {
		this.accounts.computeIfPresent(account, (name, count) -> (count > 1) ? count - 1 : null);
		this.workspaces.computeIfPresent(workspace, (name, count) -> (count > 1) ? count - 1 : null);
		this.total--;
	}

	private double share(LimitsConfig limits, String workspace) {
		int own = WorkspaceWeight.weightOf(limits.workspaceWeights(), workspace);
		int weights = (this.workspaces.containsKey(workspace)) ? 0 : own;
		for (String active : this.workspaces.keySet()) {
			weights += WorkspaceWeight.weightOf(limits.workspaceWeights(), active);
		}
		return (double) limits.maxInProgress() * own / weights;
	}

}
