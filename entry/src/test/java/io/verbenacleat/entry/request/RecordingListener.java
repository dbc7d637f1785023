package io.verbenacleat.entry.request;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.HttpHead;
import io.verbenacleat.proto.v1.Receipt;
import org.jspecify.annotations.Nullable;

/**
 * A listener that records the events of a response as short texts. Safe for use by
 * several threads.
 */
final class RecordingListener implements ResponseListener {

	final List<String> events = new CopyOnWriteArrayList<>();

	final CompletableFuture<Void> firstPart = new CompletableFuture<>();

	/** Delays the next part until it completes. */
	volatile CompletableFuture<Void> ready = CompletableFuture.completedFuture(null);

	final AtomicInteger endCount = new AtomicInteger();

	private final CompletableFuture<String> end = new CompletableFuture<>();

	private volatile @Nullable Refusal refusal;

	/**
	 * Waits for the end of the response.
	 * @return the last event
	 */
	String end() throws InterruptedException, ExecutionException, TimeoutException {
		return this.end.get(20, TimeUnit.SECONDS);
	}

	Refusal refusal() {
		return Objects.requireNonNull(this.refusal);
	}

	@Override
	public void onAccepted() {
		this.events.add("accepted");
	}

	@Override
	public void onChatChunk(ByteString json) {
		this.events.add(json.toStringUtf8());
		this.firstPart.complete(null);
	}

	@Override
	public void onHttpHead(HttpHead head) {
		this.events.add("head " + head.getStatus());
	}

	@Override
	public void onHttpBody(ByteString body) {
		this.events.add(body.toStringUtf8());
	}

	@Override
	public void onFinished(Receipt receipt) {
		end("finished");
	}

	@Override
	public void onReplayed(HttpHead head, ByteString body) {
		end("replayed " + head.getStatus() + " " + body.toStringUtf8());
	}

	@Override
	public void onRefused(Refusal refused) {
		this.refusal = refused;
		end(refused.code().code() + " " + refused.outcome().text());
	}

	@Override
	public CompletionStage<Void> ready() {
		return this.ready;
	}

	private void end(String event) {
		this.endCount.incrementAndGet();
		this.events.add(event);
		this.end.complete(event);
	}

}
