package io.verbenacleat.agent.order;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import io.grpc.stub.ServerCallStreamObserver;
import io.verbenacleat.proto.v1.ExecuteEvent;
import org.jspecify.annotations.Nullable;

/**
 * gRPC call observer whose readiness the test controls. Records the events that were
 * sent. Safe for use by one worker thread and the test.
 */
final class FakeCall extends ServerCallStreamObserver<ExecuteEvent> {

	final CountDownLatch readinessChecked = new CountDownLatch(1);

	final CountDownLatch closed = new CountDownLatch(1);

	final List<ExecuteEvent> events = new ArrayList<>();

	volatile boolean ready;

	int sentWhileNotReady;

	boolean failed;

	private @Nullable Runnable readyHandler;

	void setReady() {
		this.ready = true;
		if (this.readyHandler != null) {
			this.readyHandler.run();
		}
	}

	@Override
	public boolean isReady() {
		this.readinessChecked.countDown();
		return this.ready;
	}

	@Override
	public void setOnReadyHandler(Runnable handler) {
		this.readyHandler = handler;
	}

	@Override
	public void onNext(ExecuteEvent event) {
		this.events.add(event);
		this.sentWhileNotReady += (this.ready) ? 0 : 1;
	}

	@Override
	public void onError(Throwable failure) {
		this.failed = true;
	}

	@Override
	public void onCompleted() {
	}

	@Override
	public boolean isCancelled() {
		return false;
	}

	@Override
	public void setOnCancelHandler(Runnable handler) {
	}

	@Override
	public void setOnCloseHandler(Runnable handler) {
	}

	@Override
	public void setCompression(String compression) {
	}

	@Override
	public void disableAutoInboundFlowControl() {
	}

	@Override
	public void request(int count) {
	}

	@Override
	public void setMessageCompression(boolean enable) {
	}

}
