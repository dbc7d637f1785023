package io.verbenacleat.entry.dispatch;

import java.util.function.BooleanSupplier;

import io.grpc.Status;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.Finished;
import org.jspecify.annotations.Nullable;

/**
 * The event stream of one order. Verifies the part numbers and the part count in the last
 * event, so that a response with lost or repeated parts or an early end is never taken
 * for a complete one. gRPC calls the observer methods from one thread at a time; those of
 * {@link OrderSender.SentOrder} may be called from any thread.
 */
final class OrderStream implements ClientResponseObserver<ExecuteRequest, ExecuteEvent>, OrderSender.SentOrder {

	private final ExecuteRequest request;

	private final OrderListener listener;

	private final BooleanSupplier unsent;

	private volatile @Nullable ClientCallStreamObserver<ExecuteRequest> call;

	private long nextPart;

	private boolean ended;

	OrderStream(ExecuteRequest request, OrderListener listener, BooleanSupplier unsent) {
		this.request = request;
		this.listener = listener;
		this.unsent = unsent;
	}

	@Override
	public void beforeStart(ClientCallStreamObserver<ExecuteRequest> requestStream) {
		this.call = requestStream;
		requestStream.disableAutoRequestWithInitial(1);
	}

	@Override
	public void requestMore() {
		ClientCallStreamObserver<ExecuteRequest> started = this.call;
		if (started != null) {
			started.request(1);
		}
	}

	@Override
	public void cancel() {
		ClientCallStreamObserver<ExecuteRequest> started = this.call;
		if (started != null) {
			started.cancel("The gateway gave the order up", null);
		}
	}

	@Override
	public void onNext(ExecuteEvent event) {
		if (this.ended) {
			cancel();
			return;
		}
		if (event.getPartNumber() != this.nextPart) {
			fail("Received part " + event.getPartNumber() + " instead of part " + this.nextPart);
			return;
		}
		this.nextPart++;
		switch (event.getEventCase()) {
			case ACCEPTED, REFUSED -> acceptOrRefuse(event);
			case CHAT_CHUNK, HTTP_HEAD, HTTP_BODY -> forwardPart(event);
			case FINISHED -> finish(event.getFinished());
			default -> fail("Part " + event.getPartNumber() + " has unknown content");
		}
	}

	@Override
	public void onError(Throwable failure) {
		if (!this.ended) {
			this.ended = true;
			Status status = Status.fromThrowable(failure);
			boolean neverSent = status.getCode() == Status.Code.UNAVAILABLE && this.unsent.getAsBoolean();
			this.listener.onStreamFailed(neverSent, "The stream ended with " + status.getCode());
		}
	}

	@Override
	public void onCompleted() {
		if (!this.ended) {
			this.ended = true;
			this.listener.onStreamFailed(false,
					"The stream ended without a last event, after " + this.nextPart + " parts");
		}
	}

	private void acceptOrRefuse(ExecuteEvent event) {
		if (event.getPartNumber() != 0) {
			fail("The order was accepted or refused after the first part");
		}
		else if (event.hasRefused()) {
			this.ended = true;
			this.listener.onRefused(event.getRefused());
			requestMore();
		}
		else {
			this.listener.onAccepted();
		}
	}

	private void forwardPart(ExecuteEvent event) {
		if (event.getPartNumber() == 0) {
			fail("The response began before the order was accepted");
			return;
		}
		this.listener.onPart(event);
	}

	private void finish(Finished finished) {
		boolean isForThisOrder = finished.getReceipt().getRequestId().equals(this.request.getRequestId())
				&& finished.getReceipt().getOrderId().equals(this.request.getOrderId());
		if (this.nextPart < 2 || finished.getPartCount() != this.nextPart - 1) {
			fail("The last event counts " + finished.getPartCount() + " parts, but " + (this.nextPart - 1)
					+ " were received");
		}
		else if (!isForThisOrder) {
			fail("The receipt belongs to a different order");
		}
		else {
			this.ended = true;
			this.listener.onFinished(finished);
			requestMore();
		}
	}

	private void fail(String detail) {
		this.ended = true;
		this.listener.onStreamFailed(false, detail);
		cancel();
	}

}
