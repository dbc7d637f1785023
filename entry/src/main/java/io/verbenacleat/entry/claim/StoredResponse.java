package io.verbenacleat.entry.claim;

import java.util.Base64;
import java.util.List;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.HttpHeader;

/**
 * The response of a plain service in the form stored with its claim. Immutable.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param bodyBase64 the body in Base64
 */
public record StoredResponse(int status, List<Header> headers, String bodyBase64) {

	/** The maximum size of a body that is stored. */
	public static final int MAX_BODY_BYTES = 64 * 1024;

	/**
	 * Creates a response with a copy of the headers, which may be {@code null} for none.
	 */
	public StoredResponse {
		headers = (headers != null) ? List.copyOf(headers) : List.of();
	}

	/**
	 * Returns the stored form of a response.
	 * @param head the status and headers
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
	 * Returns the status and headers.
	 * @return the status and headers
	 */
	public HttpHead toHead() {
		HttpHead.Builder head = HttpHead.newBuilder().setStatus(this.status);
		this.headers.forEach(
				(header) -> head.addHeaders(HttpHeader.newBuilder().setName(header.name()).setValue(header.value())));
		return head.build();
	}

	/**
	 * Returns the decoded body.
	 * @return the body
	 */
	public ByteString toBody() {
		return ByteString.copyFrom(Base64.getDecoder().decode(this.bodyBase64));
	}

	/**
	 * A response header. Immutable.
	 *
	 * @param name the name
	 * @param value the value
	 */
	public record Header(String name, String value) {
	}

}
