package io.verbenacleat.agent.order;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.verbenacleat.proto.v1.ExecuteEvent;

/**
 * The stream of one order to its gateway: numbers the parts and waits while the gateway
 * does not read. Parts for a gateway that went away are dropped. Safe for use by several
 * threads; waiting is for worker threads only.
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
	 * @param onClosed called once when all parts were sent or the gateway went away
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
	 * Sets what is called when the gateway goes away; called at once when it is gone.
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
	 * Ends all waits. A gateway that does not read from then on loses its stream, since a
	 * part must not be left out.
	 */
	synchronized void stopWaiting() {
		this.stopped = true;
		notifyAll();
	}

	/**
	 * Waits until the gateway reads, goes away, or {@link #stopWaiting} is called. The
	 * buffer of the call holds at most one part more than the threshold of gRPC.
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
	 * Sends the next part.
	 * @param event the part without its number
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
	 * Ends the stream.
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
