package io.verbenacleat.entry.claim;

import java.util.Base64;
import java.util.List;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.HttpHeader;

/**
 * The response of a plain service as a claim keeps it. Immutable.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param bodyBase64 the body in Base64
 */
public record StoredResponse(int status, List<Header> headers, String bodyBase64) {

	/** The largest body that is stored. */
	public static final int MAX_BODY_BYTES = 64 * 1024;

	/**
	 * Creates a response from a copy of the list.
	 */
	public StoredResponse {
		headers = (headers != null) ? List.copyOf(headers) : List.of();
	}

	/**
	 * Returns the stored form of a response.
	 * @param head status and headers
	 * @param body the body, at most {@value #MAX_BODY_BYTES} bytes
	 * @return the stored form
	 */
	public static StoredResponse of(HttpHead head, ByteString body) {
		List<Header> headers = head.getHeadersList()
			.stream()
			.map((header) -> new Header(header.getName(), header.getValue()))
			.toList();
		return new StoredResponse(head.getStatus(), headers, Base64.getEncoder().encodeToString(body.toByteArray()));
	}

	/**
	 * Returns status and headers.
	 * @return the head
	 */
	public HttpHead toHead() {
		HttpHead.Builder head = HttpHead.newBuilder().setStatus(this.status);
		this.headers.forEach(
				(header) -> head.addHeaders(HttpHeader.newBuilder().setName(header.name()).setValue(header.value())));
		return head.build();
	}

	/**
	 * Returns the body.
	 * @return the bytes
	 */
	public ByteString toBody() {
		return ByteString.copyFrom(Base64.getDecoder().decode(this.bodyBase64));
	}

	/**
	 * One header. Immutable.
	 *
	 * @param name the name
	 * @param value the value
	 */
	public record Header(String name, String value) {
	}

}
