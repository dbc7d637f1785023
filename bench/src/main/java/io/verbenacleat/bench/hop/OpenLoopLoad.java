package io.verbenacleat.bench.hop;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/**
 * Sends streaming chat requests at a fixed rate, whether or not earlier ones have ended.
 * Times are measured from the intended start of a request, so that they include delays of
 * the sender. Not safe for use by several threads. Responses are read on other threads.
 */
final class OpenLoopLoad implements AutoCloseable {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final String BODY = """
			{"model":"quote-drafter","stream":true,"max_tokens":%d,"messages":[{"role":"user",\
			"content":"Quote for a copper pan, 28 cm, worn tin, id=load-%d answer=%d"}]}""";

	private static final int ANSWER_TOKENS = 40;

	private static final int MAX_CONCURRENT_REQUESTS = 2_000;

	private static final long DRAIN_SECONDS = 30;

	private final OkHttpClient client;

	private final String baseUrl;

	private final String apiKey;

	OpenLoopLoad(String baseUrl, String apiKey) {
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(MAX_CONCURRENT_REQUESTS);
		dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_REQUESTS);
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher).build();
		this.baseUrl = baseUrl;
		this.apiKey = apiKey;
	}

	/**
	 * Sends requests at a fixed rate and waits for their responses.
	 * @param perSecond the number of requests per second
	 * @param seconds the time in which requests are sent, in seconds
	 * @return the response times
	 * @throws InterruptedException if the thread is interrupted
	 */
	LoadTimes run(int perSecond, int seconds) throws InterruptedException {
		int count = perSecond * seconds;
		LoadTimes times = new LoadTimes();
		CountDownLatch open = new CountDownLatch(count);
		long firstNanos = System.nanoTime();
		for (int i = 0; i < count; i++) {
			long intendedNanos = firstNanos + i * TimeUnit.SECONDS.toNanos(1) / perSecond;
			long waitNanos = intendedNanos - System.nanoTime();
			while (waitNanos > 0) {
				LockSupport.parkNanos(waitNanos);
				waitNanos = intendedNanos - System.nanoTime();
			}
			send(i, intendedNanos, times, open);
		}
		if (!open.await(DRAIN_SECONDS, TimeUnit.SECONDS)) {
			times.recordFailure();
		}
		return times;
	}

	private void send(int number, long intendedNanos, LoadTimes times, CountDownLatch open) {
		String body = String.format(Locale.ROOT, BODY, ANSWER_TOKENS, number, ANSWER_TOKENS);
		Request request = new Request.Builder().url(this.baseUrl + "/chat/completions")
			.header("Authorization", "Bearer " + this.apiKey)
			.post(RequestBody.create(body, JSON))
			.build();
		this.client.newCall(request).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				times.recordFailure();
				open.countDown();
			}

			@Override
			public void onResponse(Call call, Response response) {
				readStream(response, intendedNanos, times);
				open.countDown();
			}

		});
	}

	private static void readStream(Response response, long intendedNanos, LoadTimes times) {
		try (response) {
			BufferedSource source = response.body().source();
			long lastNanos = intendedNanos;
			int tokens = 0;
			boolean done = false;
			String line = source.readUtf8Line();
			while (line != null) {
				if (line.contains("\"content\":\"")) {
					long nowNanos = System.nanoTime();
					times.recordToken(tokens == 0, nowNanos - lastNanos);
					lastNanos = nowNanos;
					tokens++;
				}
				done |= line.equals("data: [DONE]");
				line = source.readUtf8Line();
			}
			times.recordEnd(done && tokens > 0, System.nanoTime() - intendedNanos);
		}
		catch (IOException ex) {
			times.recordFailure();
		}
	}

	@Override
	public void close() {
		this.client.dispatcher().executorService().shutdownNow();
		this.client.connectionPool().evictAll();
	}

}
