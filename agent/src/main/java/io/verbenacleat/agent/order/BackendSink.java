package io.verbenacleat.agent.order;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;

/**
 * Takes the answer of a backend server part by part. Each method waits while the gateway
 * does not read. Called by one thread at a time.
 */
public interface BackendSink {

	/**
	 * Notes that there is a connection and the request is about to be sent. Called at
	 * most once, before all other methods.
	 */
	void started();

	/**
	 * Takes one JSON object of a chat completion stream.
	 * @param json the object as the engine sent it
	 */
	void chatChunk(ByteString json);

	/**
	 * Takes the status line and headers of a plain service.
	 * @param head the head
	 */
	void httpHead(HttpHead head);

	/**
	 * Takes a piece of the body of a plain service.
	 * @param bytes the piece, not empty
	 */
	void httpBody(ByteString bytes);

}
