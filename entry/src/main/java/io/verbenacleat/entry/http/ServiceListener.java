package io.verbenacleat.entry.http;

import com.google.protobuf.ByteString;
import io.verbenacleat.entry.request.Refusal;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.HttpHeader;
import io.verbenacleat.proto.v1.Receipt;
import org.jspecify.annotations.Nullable;

/**
 * Sends the response of a plain service once it is complete, so that a truncated response
 * never looks complete. Not safe for use by several threads.
 */
final class ServiceListener extends ExchangeListener {

	private static final String CONTENT_TYPE = "content-type";

	private static final String DEFAULT_MEDIA_TYPE = "application/octet-stream";

	private @Nullable HttpHead responseHead;

	private ByteString responseBody = ByteString.EMPTY;

	ServiceListener(Exchange exchange) {
		super(exchange);
	}

	@Override
	public void onHttpHead(HttpHead head) {
		this.responseHead = head;
	}

	@Override
	public void onHttpBody(ByteString body) {
		this.responseBody = this.responseBody.concat(body);
	}

	@Override
	public void onFinished(Receipt receipt) {
		if (this.responseHead == null) {
			this.exchange.refuse(malformedAnswer());
			return;
		}
		send(this.responseHead, this.responseBody);
	}

	@Override
	public void onReplayed(HttpHead head, ByteString body) {
		this.exchange.header("Verbena-Replayed", "true");
		send(head, body);
	}

	@Override
	public void onRefused(Refusal refusal) {
		this.exchange.refuse(refusal);
	}

	private void send(HttpHead head, ByteString body) {
		String mediaType = DEFAULT_MEDIA_TYPE;
		for (HttpHeader header : head.getHeadersList()) {
			if (header.getName().equalsIgnoreCase(CONTENT_TYPE)) {
				mediaType = header.getValue();
			}
			else if (HopByHopHeaders.isEndToEnd(header.getName())) {
				this.exchange.header(header.getName(), header.getValue());
			}
		}
		this.exchange.send(head.getStatus(), mediaType, body.toByteArray());
	}

}
