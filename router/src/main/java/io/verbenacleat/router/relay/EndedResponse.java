package io.verbenacleat.router.relay;

/**
 * A response without length whose connection has ended. It is whole if the process that
 * wrote it runs on, and may be cut otherwise. Not thread safe; confined to the event loop
 * of the relay.
 */
final class EndedResponse {

	private final long requestSentAtMs;

	private final long endedAtMs;

	private final LivenessChecks.Listener listener;

	private String finding = "no_evidence";

	/** Whether the other connections of an ended process would be closed by now. */
	private boolean settled;

	/** Whether another connection broke after the end. */
	private boolean suspect;

	/** Whether a new connection may still show that the process runs. */
	private boolean connectable = true;

	private boolean decided;

	/**
	 * Creates an ended response.
	 * @param requestSentAtMs when its request was sent, by the steady time in
	 * milliseconds
	 * @param endedAtMs when its connection ended, by the steady time in milliseconds
	 * @param listener receives the decision
	 */
	EndedResponse(long requestSentAtMs, long endedAtMs, LivenessChecks.Listener listener) {
		this.requestSentAtMs = requestSentAtMs;
		this.endedAtMs = endedAtMs;
		this.listener = listener;
	}

	/**
	 * Returns when the request was sent. A connection that was opened by then and still
	 * works belongs to the process that wrote the response.
	 * @return the steady time in milliseconds
	 */
	long requestSentAtMs() {
		return this.requestSentAtMs;
	}

	/**
	 * Returns when the connection of the response ended.
	 * @return the steady time in milliseconds
	 */
	long endedAtMs() {
		return this.endedAtMs;
	}

	/**
	 * Returns what was found last, for logs.
	 * @return the finding
	 */
	String finding() {
		return this.finding;
	}

	boolean isDecided() {
		return this.decided;
	}

	boolean isConnectable() {
		return this.connectable;
	}

	/**
	 * Records a result that shows neither that the process runs nor that it has ended.
	 * @param newFinding what was found, for logs
	 * @param mayConnectAgain whether another new connection may show more
	 */
	void onFinding(String newFinding, boolean mayConnectAgain) {
		this.finding = newFinding;
		this.connectable = mayConnectAgain;
	}

	/**
	 * Called when the connections of a process that ended with the response would be
	 * closed.
	 */
	void settle() {
		this.settled = true;
	}

	/**
	 * Called when a connection breaks.
	 * @param connection the connection
	 */
	void onBroken(ServerConnection connection) {
		this.suspect |= connection.wasOpenedBy(this.requestSentAtMs);
	}

	/**
	 * Returns whether another connection to the process broke after the end.
	 * @return {@code true} if the process may have ended
	 */
	boolean isSuspect() {
		return this.suspect;
	}

	/**
	 * Returns whether bytes that have just been received were written by the same process
	 * after the end.
	 * @param connection the connection of the bytes
	 * @return {@code false} if they may be from before the end, or from a later process
	 */
	boolean isProvenByBytes(ServerConnection connection) {
		return this.settled && !this.suspect && connection.wasOpenedBy(this.requestSentAtMs);
	}

	/**
	 * Returns whether the response that has just begun was written by the same process
	 * after the end, since its request was sent after it.
	 * @param connection the connection of the response
	 * @return {@code false} if it may be from before the end, or from a later process
	 */
	boolean isProvenByResponse(ServerConnection connection) {
		return connection.isSentAfter(this.endedAtMs) && connection.wasOpenedBy(this.requestSentAtMs);
	}

	/**
	 * Ends the check without a decision, because nobody waits for it.
	 */
	void cancel() {
		this.decided = true;
	}

	/**
	 * Reports the decision to the listener, unless there was one before.
	 * @param running whether the process certainly ran after the end
	 * @param evidence what was found, for logs
	 */
	void decide(boolean running, String evidence) {
		if (!this.decided) {
			this.decided = true;
			this.listener.onResult(running, evidence);
		}
	}

}
