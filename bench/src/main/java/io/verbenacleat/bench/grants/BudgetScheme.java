package io.verbenacleat.bench.grants;

import java.util.function.Consumer;

/**
 * A way to divide prepaid budgets over the holders of several sites. Implementations are
 * used by one thread, which owns their control thread.
 */
interface BudgetScheme {

	/**
	 * Decides a request.
	 * @param request the request
	 * @param onDecision takes the decision, now or when time goes on
	 */
	void reserve(WorkloadRequest request, Consumer<Decision> onDecision);

	/**
	 * Notes that a granted request started.
	 * @param request the request
	 * @param holderId the place of its reservation
	 */
	void onStarted(WorkloadRequest request, String holderId);

	/**
	 * Bills a granted request that ended; retries by itself until the holder knows.
	 * @param request the request
	 * @param holderId the place of its reservation
	 */
	void onFinished(WorkloadRequest request, String holderId);

	/**
	 * Adds budget to an account.
	 * @param topUp the account and the tokens
	 */
	void topUp(TopUp topUp);

	/**
	 * Ends a holder without warning.
	 * @param crash the holder
	 */
	void crashHolder(HolderCrash crash);

	/**
	 * Returns the tokens that a request at an average site cannot get from its home
	 * holder or the ungranted rest, summed over all accounts.
	 * @return the tokens
	 */
	double outOfReachTokens();

	/**
	 * Returns where the tokens are that a refused request would have needed.
	 * @param request the request
	 * @return a short name of the cause
	 */
	String diagnose(WorkloadRequest request);

	/**
	 * Returns the calls to the table service so far.
	 * @return the calls
	 */
	TableLoad tableLoad();

}
