package io.verbenacleat.agent.backend;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import io.verbenacleat.agent.order.BackendSink;
import io.verbenacleat.proto.v1.HttpHead;

/**
 * Sink that collects the parts of a response for tests. Not safe for use by several
 * threads.
 */
public final class CollectingSink implements BackendSink {

	/** The number of calls of {@link #started}. */
	public int starts;

	/** Runs at each call of {@link #started}. */
	public Runnable onStart = () -> {
	};

	/** The chunks of a chat completion. */
	public final List<String> chunks = new ArrayList<>();

	/** The response heads. */
	public final List<HttpHead> heads = new ArrayList<>();

	/** The response body so far. */
	public ByteString body = ByteString.EMPTY;

	@Override
	public void started() {
		this.starts++;
		this.onStart.run();
	}

	@Override
	public void chatChunk(ByteString json) {
		this.chunks.add(json.toStringUtf8());
	}

	@Override
	public void httpHead(HttpHead head) {
		this.heads.add(head);
	}

	@Override
	public void httpBody(ByteString bytes) {
		this.body = this.body.concat(bytes);
	}

}
