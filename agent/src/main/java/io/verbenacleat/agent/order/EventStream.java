package io.verbenacleat.agent.order;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.verbenacleat.proto.v1.ExecuteEvent;

/**
 * Response stream of one order to its gateway. Numbers the parts, applies backpressure
 * while the gateway does not read, and discards parts once the stream is closed. Safe for
 * use by several threads; only worker threads may call {@link #awaitReady}, which blocks.
 */
final class EventStream {

	private final ServerCallStreamObserver<ExecuteEvent> observer;

	private long partCount;

	private boolean closed;

	private boolean stopped;

	private Runnable onDisconnect = () -> {
	};

	/**
	 * Creates a stream; must be called before the gRPC method returns.
	 * @param observer the observer of the call
	 * @param onClosed called once when all parts were sent or the gateway disconnected
	 */
	EventStream(ServerCallStreamObserver<ExecuteEvent> observer, Runnable onClosed) {
		this.observer = observer;
		observer.setOnReadyHandler(this::notifyReady);
		observer.setOnCloseHandler(onClosed);
		observer.setOnCancelHandler(() -> {
			disconnect();
			onClosed.run();
		});
	}

	/**
	 * Sets the action to run when the gateway disconnects; runs it immediately when the
	 * stream is already closed.
	 * @param action the action
	 */
	void onDisconnect(Runnable action) {
		synchronized (this) {
			if (!this.closed) {
				this.onDisconnect = action;
				return;
			}
		}
		action.run();
	}

	synchronized boolean closed() {
		return this.closed;
	}

	/**
	 * Ends the current and all further waits in {@link #awaitReady}. If the gateway is
	 * not ready for the next part, the stream then fails, because a part must not be
	 * skipped.
	 */
	synchronized void stopWaiting() {
		this.stopped = true;
		notifyAll();
	}

	/**
	 * Blocks until the gateway is ready for the next part, the stream is closed, or
	 * {@link #stopWaiting} is called. This limits the send buffer of the call to one part
	 * above gRPC's readiness threshold.
	 */
	synchronized void awaitReady() {
		boolean interrupted = false;
		while (!this.closed && !this.stopped && !this.observer.isReady()) {
			try {
				wait();
			}
			catch (InterruptedException ex) {
				interrupted = true;
				this.stopped = true;
			}
		}
		if (!this.closed && !this.observer.isReady()) {
			this.closed = true;
			this.observer
				.onError(Status.DEADLINE_EXCEEDED.withDescription("The gateway did not read").asRuntimeException());
		}
		if (interrupted) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Sends the next part; does nothing when the stream is closed.
	 * @param event the part, whose number this method sets
	 */
	synchronized void send(ExecuteEvent.Builder event) {
		if (!this.closed) {
			this.observer.onNext(event.setPartNumber(this.partCount).build());
			this.partCount++;
		}
	}

	synchronized long partCount() {
		return this.partCount;
	}

	/**
	 * Completes the stream; does nothing when it is closed.
	 */
	synchronized void complete() {
		if (!this.closed) {
			this.closed = true;
			this.observer.onCompleted();
		}
	}

	private synchronized void notifyReady() {
		notifyAll();
	}

	private void disconnect() {
		Runnable action;
		synchronized (this) {
			this.closed = true;
			notifyAll();
			action = this.onDisconnect;
		}
		action.run();
	}

}
