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
	 * @param answer takes the decision, now or when time goes on
	 */
	void reserve(WorkRequest request, Consumer<Decision> answer);

	/**
	 * Notes that a granted request started.
	 * @param request the request
	 * @param place the place of its reservation
	 */
	void started(WorkRequest request, String place);

	/**
	 * Bills a granted request that ended; retries by itself until the holder knows.
	 * @param request the request
	 * @param place the place of its reservation
	 */
	void finished(WorkRequest request, String place);

	/**
	 * Adds budget to an account.
	 * @param topUp the account and the tokens
	 */
	void topUp(TopUp topUp);

	/**
	 * Ends a holder without warning.
	 * @param loss the holder
	 */
	void lose(HolderLoss loss);

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
	String diagnose(WorkRequest request);

	/**
	 * Returns the calls to the table service so far.
	 * @return the calls
	 */
	TableLoad load();

}
