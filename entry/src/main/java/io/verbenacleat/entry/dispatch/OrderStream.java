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
 * The event stream of one order: checks the part numbers and the count at the end, so
 * that a gap, a repeat or an early end never passes for a whole answer. gRPC calls it
 * from one thread at a time; the handle may be used from any thread.
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
			fail("Part " + event.getPartNumber() + " came in place of part " + this.nextPart);
			return;
		}
		this.nextPart++;
		switch (event.getEventCase()) {
			case ACCEPTED, REFUSED -> acceptOrRefuse(event);
			case CHAT_CHUNK, HTTP_HEAD, HTTP_BODY -> forwardPart(event);
			case FINISHED -> finish(event.getFinished());
			default -> fail("Part " + event.getPartNumber() + " has no known content");
		}
	}

	@Override
	public void onError(Throwable failure) {
		if (!this.ended) {
			this.ended = true;
			Status status = Status.fromThrowable(failure);
			boolean neverSent = status.getCode() == Status.Code.UNAVAILABLE && this.unsent.getAsBoolean();
			this.listener.onBroken(neverSent, "The stream ended with " + status.getCode());
		}
	}

	@Override
	public void onCompleted() {
		if (!this.ended) {
			this.ended = true;
			this.listener.onBroken(false, "The stream ended early, after " + this.nextPart + " parts");
		}
	}

	private void acceptOrRefuse(ExecuteEvent event) {
		if (event.getPartNumber() != 0) {
			fail("The order was accepted or refused in the middle of the answer");
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
			fail("The answer began before the order was accepted");
			return;
		}
		this.listener.onPart(event);
	}

	private void finish(Finished finished) {
		boolean isForThisOrder = finished.getReceipt().getRequestId().equals(this.request.getRequestId())
				&& finished.getReceipt().getOrderId().equals(this.request.getOrderId());
		if (this.nextPart < 2 || finished.getPartCount() != this.nextPart - 1) {
			fail("The end counts " + finished.getPartCount() + " parts, " + (this.nextPart - 1) + " came");
		}
		else if (!isForThisOrder) {
			fail("The receipt belongs to another order");
		}
		else {
			this.ended = true;
			this.listener.onFinished(finished);
			requestMore();
		}
	}

	private void fail(String detail) {
		this.ended = true;
		this.listener.onBroken(false, detail);
		cancel();
	}

}
