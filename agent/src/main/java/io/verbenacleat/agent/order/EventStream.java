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

	private long parts;

	private boolean gone;

	private boolean stopped;

	private Runnable onGone = () -> {
	};

	/**
	 * Creates a stream; must be called before the gRPC method returns.
	 * @param observer the observer of the call
	 * @param onClosed called once when all parts were sent or the gateway went away
	 */
	EventStream(ServerCallStreamObserver<ExecuteEvent> observer, Runnable onClosed) {
		this.observer = observer;
		observer.setOnReadyHandler(this::wake);
		observer.setOnCloseHandler(onClosed);
		observer.setOnCancelHandler(() -> {
			leave();
			onClosed.run();
		});
	}

	/**
	 * Sets what is called when the gateway goes away; called at once when it is gone.
	 * @param action the action
	 */
	void onGone(Runnable action) {
		synchronized (this) {
			if (!this.gone) {
				this.onGone = action;
				return;
			}
		}
		action.run();
	}

	synchronized boolean gone() {
		return this.gone;
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
		while (!this.gone && !this.stopped && !this.observer.isReady()) {
			try {
				wait();
			}
			catch (InterruptedException ex) {
				interrupted = true;
				this.stopped = true;
			}
		}
		if (!this.gone && !this.observer.isReady()) {
			this.gone = true;
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
		if (!this.gone) {
			this.observer.onNext(event.setPartNumber(this.parts).build());
			this.parts++;
		}
	}

	synchronized long parts() {
		return this.parts;
	}

	/**
	 * Ends the stream.
	 */
	synchronized void complete() {
		if (!this.gone) {
			this.gone = true;
			this.observer.onCompleted();
		}
	}

	private synchronized void wake() {
		notifyAll();
	}

	private void leave() {
		Runnable action;
		synchronized (this) {
			this.gone = true;
			notifyAll();
			action = this.onGone;
		}
		action.run();
	}

}
