package io.verbenacleat.agent.order;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;

/**
 * Receives the response of a backend server part by part. The methods that take a part of
 * the response block while the gateway does not read. Called by one thread at a time.
 */
public interface BackendSink {

	/**
	 * Called at most once and before all other methods, when there is a connection and
	 * before the request is sent.
	 */
	void started();

	/**
	 * Receives one JSON object of a chat completion stream.
	 * @param json the object, unchanged from the model engine
	 */
	void chatChunk(ByteString json);

	/**
	 * Receives the status and headers of the response of a service.
	 * @param head the status and headers
	 */
	void httpHead(HttpHead head);

	/**
	 * Receives a piece of the response body of a service.
	 * @param bytes the piece, not empty
	 */
	void httpBody(ByteString bytes);

}
