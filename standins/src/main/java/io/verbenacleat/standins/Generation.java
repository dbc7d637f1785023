package io.verbenacleat.standins;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;

import io.jooby.Context;
import io.jooby.MediaType;
import io.jooby.Sender;

/**
 * Generates one answer of the engine stand-in token by token. Each token is scheduled
 * after the previous one was written, so that a broken connection ends the generation.
 * Tokens are generated on the timers; the record may be read by any thread.
 */
final class Generation {

	private static final String STOP = "stop";

	private static final String LENGTH = "length";

	private final ChatAnswer answer;

	private final ScheduledExecutorService timers;

	private final Duration firstTokenDelay;

	private final Duration tokenInterval;

	private final int targetTokens;

	private final String finishReason;

	private final Sender sender;

	private CompletionRecord record;

	/**
	 * Creates a generation.
	 * @param ctx the request, not answered yet
	 * @param answer builds the texts of the answer
	 * @param settings the settings of the engine
	 * @param timers the scheduler that generates the tokens
	 * @param record the initial record
	 */
	Generation(Context ctx, ChatAnswer answer, EngineSettings settings, ScheduledExecutorService timers,
			CompletionRecord record) {
		ChatRequest request = answer.request();
		int maxTokens = (settings.ignoreMaxTokens) ? Integer.MAX_VALUE : request.maxTokens();
		this.answer = answer;
		this.timers = timers;
		this.firstTokenDelay = Duration.ofMillis(settings.firstTokenMs);
		this.tokenInterval = Duration.ofMillis(settings.tokenIntervalMs);
		this.targetTokens = Math.min(request.answerTokens(), maxTokens);
		this.finishReason = (request.answerTokens() > maxTokens) ? LENGTH : STOP;
		this.record = record;
		ctx.setResponseType((request.stream()) ? MediaType.valueOf("text/event-stream") : MediaType.json);
		this.sender = ctx.responseSender();
	}

	/**
	 * Schedules the first token.
	 */
	void start() {
		StandinServer.schedule(this.timers, this.firstTokenDelay, this::generateNext);
	}

	/**
	 * Returns the current record.
	 * @return a snapshot; it changes with each token and at the end
	 */
	synchronized CompletionRecord record() {
		return this.record;
	}

	private void generateNext() {
		int generated = record().generatedTokens();
		if (generated == this.targetTokens) {
			finish(generated);
			return;
		}
		update(record().withGeneratedTokens(generated + 1));
		write((isStream()) ? serverSentEvent(this.answer.tokenChunk(generated)) : "\n",
				() -> StandinServer.schedule(this.timers, this.tokenInterval, this::generateNext));
	}

	private void finish(int generated) {
		String end = this.answer.completion(this.finishReason, generated);
		if (isStream()) {
			end = serverSentEvent(this.answer.finishChunk(this.finishReason, generated));
			if (this.answer.request().includeUsage()) {
				end += serverSentEvent(this.answer.usageChunk(generated));
			}
			end += serverSentEvent("[DONE]");
		}
		update(record().withFinished(false, System.currentTimeMillis()));
		write(end, this.sender::close);
	}

	// White space before a JSON text is not significant. An answer that is not streamed
	// sends one line feed per token, because a broken connection shows only on a write.
	private void write(String text, Runnable next) {
		this.sender.write(text.getBytes(StandardCharsets.UTF_8), (ctx, failure) -> {
			if (failure == null) {
				next.run();
			}
			else {
				update(record().withFinished(true, System.currentTimeMillis()));
			}
		});
	}

	private boolean isStream() {
		return this.answer.request().stream();
	}

	private synchronized void update(CompletionRecord changed) {
		this.record = changed;
	}

	private static String serverSentEvent(String data) {
		return "data: " + data + "\n\n";
	}

}
