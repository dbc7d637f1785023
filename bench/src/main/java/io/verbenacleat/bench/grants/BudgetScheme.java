package io.verbenacleat.bench.grants;

import java.util.function.Consumer;

/**
 * Divides prepaid budgets among the holders of several sites. The experiment replays the
 * same requests, top-ups and crashes against each implementation. Implementations are not
 * safe for use by several threads; all calls come from the thread that advances the
 * simulated control thread.
 */
interface BudgetScheme {

	/**
	 * Decides whether a request may run.
	 * @param request the request
	 * @param onDecision called with the decision, either during this call or at a later
	 * simulated time
	 */
	void reserve(WorkloadRequest request, Consumer<Decision> onDecision);

	/**
	 * Records that a granted request started.
	 * @param request the request
	 * @param holderId the holder of its reservation
	 */
	void onStarted(WorkloadRequest request, String holderId);

	/**
	 * Bills a granted request that ended. Retries until the holder has received the bill.
	 * @param request the request
	 * @param holderId the holder of its reservation
	 */
	void onFinished(WorkloadRequest request, String holderId);

	/**
	 * Adds budget to an account.
	 * @param topUp the account and the tokens
	 */
	void topUp(TopUp topUp);

	/**
	 * Crashes a holder.
	 * @param crash the holder to crash
	 */
	void crashHolder(HolderCrash crash);

	/**
	 * Returns the tokens that a request can get neither from its home holder nor from the
	 * ungranted tokens, averaged over the sites and summed over all accounts.
	 * @return the number of tokens
	 */
	double outOfReachTokens();

	/**
	 * Classifies why a refused request could not get the tokens that its budget still
	 * has.
	 * @param request the request
	 * @return the name of the cause, as written to the results
	 */
	String diagnose(WorkloadRequest request);

	/**
	 * Returns the number of calls to the table service so far.
	 * @return the number of calls by kind
	 */
	TableLoad tableLoad();

}
