package io.verbenacleat.agent;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.ExecuteRequest;
import org.jspecify.annotations.Nullable;

/**
 * An {@code Execute} call of a gateway in a test, which queues the events received. Safe
 * for use by several threads.
 */
final class GatewayCall implements ClientResponseObserver<ExecuteRequest, ExecuteEvent> {

	private final BlockingQueue<ExecuteEvent> events = new LinkedBlockingQueue<>();

	private volatile @Nullable ClientCallStreamObserver<ExecuteRequest> call;

	/**
	 * Waits for the next event.
	 * @return the event
	 * @throws InterruptedException when interrupted
	 */
	ExecuteEvent next() throws InterruptedException {
		ExecuteEvent event = this.events.poll(20, TimeUnit.SECONDS);
		if (event == null) {
			throw new AssertionError("No event arrived");
		}
		return event;
	}

	void cancel() {
		ClientCallStreamObserver<ExecuteRequest> startedCall = this.call;
		if (startedCall != null) {
			startedCall.cancel("the caller went away", null);
		}
	}

	@Override
	public void beforeStart(ClientCallStreamObserver<ExecuteRequest> stream) {
		this.call = stream;
	}

	@Override
	public void onNext(ExecuteEvent event) {
		this.events.add(event);
	}

	@Override
	public void onError(Throwable failure) {
	}

	@Override
	public void onCompleted() {
	}

}
