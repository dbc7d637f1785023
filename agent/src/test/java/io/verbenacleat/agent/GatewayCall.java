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
 * One {@code Execute} call of a gateway in a test. Safe for use by several threads.
 */
final class GatewayCall implements ClientResponseObserver<ExecuteRequest, ExecuteEvent> {

	private final BlockingQueue<ExecuteEvent> events = new LinkedBlockingQueue<>();

	private volatile @Nullable ClientCallStreamObserver<ExecuteRequest> call;

	/**
	 * Waits for the next part.
	 * @return the part
	 * @throws InterruptedException when interrupted
	 */
	ExecuteEvent next() throws InterruptedException {
		ExecuteEvent event = this.events.poll(20, TimeUnit.SECONDS);
		if (event == null) {
			throw new AssertionError("No part arrived");
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
