package io.verbenacleat.agent.service;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import io.verbenacleat.agent.backend.BackendCalls;
import io.verbenacleat.agent.backend.BackendTarget;
import io.verbenacleat.agent.order.Backend;
import io.verbenacleat.agent.order.BackendOutcome;
import io.verbenacleat.agent.order.BackendSink;
import io.verbenacleat.agent.order.Cancellation;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.HttpHeader;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import okhttp3.Call;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;

/**
 * Forwards the requests of orders to a plain service and streams its responses. A
 * response with an error status is forwarded like any other. Never sends a request twice.
 * Safe for use by several threads.
 */
public final class PlainServiceClient implements Backend {

	private static final int BUFFER_BYTES = 32 * 1024;

	/** RFC 9110, section 15. */
	private static final int MIN_STATUS = 100;

	private static final int MAX_STATUS = 599;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private final BackendCalls calls;

	private final BackendTarget target;

	/**
	 * Creates a client.
	 * @param calls the HTTP client
	 * @param target the base URL and fencing token for the service
	 */
	public PlainServiceClient(BackendCalls calls, BackendTarget target) {
		this.calls = calls;
		this.target = target;
	}

	@Override
	public BackendOutcome run(ExecuteRequest order, BackendSink sink, Cancellation cancellation) {
		Request request;
		try {
			request = ServiceRequest.of(order, this.target);
		}
		catch (IllegalArgumentException ex) {
			return BackendOutcome.notRun(RefusalReason.INVALID_ORDER, String.valueOf(ex.getMessage()));
		}
		long priceTokens = order.getHttp().getPriceTokens();
		BackendCalls.Attempt attempt = new BackendCalls.Attempt(sink::started);
		Call call = this.calls.newCall(request, attempt);
		cancellation.onCancel(call::cancel);
		try (Response response = call.execute()) {
			forwardResponse(response, sink);
			if (attempt.sendFailed() && endsWithConnection(response)) {
				throw new IOException("the connection broke before the request was sent");
			}
			return BackendOutcome.ended(ReceiptStatus.COMPLETE).withBill(priceTokens, 0);
		}
		catch (IOException ex) {
			if (!attempt.connected()) {
				return BackendOutcome.notRun(RefusalReason.BACKEND_UNREACHABLE, "no connection to the service: " + ex);
			}
			return brokenCallOutcome(order, ex, cancellation);
		}
	}

	private static boolean endsWithConnection(Response response) {
		return response.header("Content-Length") == null && response.header("Transfer-Encoding") == null
				&& response.code() != NO_CONTENT && response.code() != NOT_MODIFIED;
	}

	private static void forwardResponse(Response response, BackendSink sink) throws IOException {
		if (response.code() < MIN_STATUS || response.code() > MAX_STATUS) {
			throw new IOException("the service answered with status " + response.code());
		}
		List<HttpHeader> headers = new ArrayList<>();
		response.headers()
			.forEach((header) -> headers
				.add(HttpHeader.newBuilder().setName(header.getFirst()).setValue(header.getSecond()).build()));
		sink.httpHead(HttpHead.newBuilder()
			.setStatus(response.code())
			.addAllHeaders(HopByHopHeaders.remove(headers))
			.build());
		ResponseBody body = response.body();
		if (body == null) {
			return;
		}
		byte[] buffer = new byte[BUFFER_BYTES];
		int length = body.source().read(buffer);
		while (length >= 0) {
			if (length > 0) {
				sink.httpBody(ByteString.copyFrom(buffer, 0, length));
			}
			length = body.source().read(buffer);
		}
	}

	/**
	 * Returns the outcome of a call whose connection broke after it was sent. The price
	 * of a call that is not repeatable is held, because it is unknown whether the call
	 * took effect.
	 * @param order the order
	 * @param cause the failure
	 * @param cancellation shows whether the agent closed the connection itself
	 * @return the outcome
	 */
	private static BackendOutcome brokenCallOutcome(ExecuteRequest order, IOException cause,
			Cancellation cancellation) {
		long priceTokens = order.getHttp().getPriceTokens();
		if (cancellation.isCancelled()) {
			return BackendOutcome.ended(ReceiptStatus.CANCELLED).withBill(priceTokens, 0);
		}
		if (order.getRepeatable()) {
			return BackendOutcome.failed("service_connection_broken", "the connection to the service broke: " + cause);
		}
		return BackendOutcome
			.failed("outcome_unknown", "the connection broke after the call was sent, its outcome is unknown: " + cause)
			.withBill(0, priceTokens);
	}

}
