package io.verbenacleat.entry.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import io.verbenacleat.core.account.CallerKey;
import io.verbenacleat.core.config.BackendServerConfig;
import io.verbenacleat.core.config.BudgetConfig;
import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.ModelConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.entry.request.ResponseListener;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against callers that stop sending or receiving and thereby occupy memory,
 * threads or the limit of requests in progress.
 */
public class SlowCallerTests {

	/** Exceeds the number of worker threads of the gateway. */
	private static final int STALLED_CALLERS = 40;

	private static final long TIMEOUT_SECONDS = 20;

	private static final String KEY = CallerKey.create("acct", new SplittableRandom(7)).reveal();

	private static final String CHAT = "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]";

	private static final ByteString CHUNK = ScriptedRunner.chunk("x".repeat(1_000));

	private final List<Socket> sockets = new ArrayList<>();

	private final AtomicLong acceptedChunks = new AtomicLong();

	private ScriptedRunner runner = new ScriptedRunner();

	private @Nullable HttpGateway gateway;

	@BeforeMethod
	public void start() throws IOException {
		this.runner = new ScriptedRunner();
		this.acceptedChunks.set(0);
		Blackboard blackboard = new Blackboard();
		blackboard.write(EntryStateKeys.CONFIG, config());
		blackboard.write(EntryStateKeys.ACCEPTING, true);
		this.gateway = HttpGateway
			.builder("entry-1", blackboard, this.runner,
					(requestId, key) -> CompletableFuture.completedFuture(Optional.empty()))
			.callerIdleTimeout(Duration.ofMillis(500))
			.start("127.0.0.1", 0);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		for (Socket socket : this.sockets) {
			socket.close();
		}
		gateway().close();
	}

	@Test
	public void stalledCallersTimeOutAndDelayNoOther() throws Exception {
		this.runner.script = this::streamEndlessly;
		for (int i = 0; i < STALLED_CALLERS; i++) {
			post(CHAT + ",\"stream\":true}", CHAT.length() + 15);
		}
		await("all streams run", () -> this.runner.requests.size() == STALLED_CALLERS && this.acceptedChunks.get() > 0);
		Socket models = connect();
		write(models, "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + KEY + "\r\n\r\n");
		assertEquals(firstLine(models), "HTTP/1.1 200 OK");
		await("stalled callers time out", () -> gateway().requestsInProgress() == 0);
		await("the run is notified of a disconnect", () -> this.runner.callerGone.getCount() == 0);
		// The kernel buffers up to 4 MiB of them for each connection.
		long acceptedBytes = this.acceptedChunks.get() * CHUNK.size() / STALLED_CALLERS;
		System.out.println("slow callers: " + acceptedBytes + " bytes accepted for each");
		assertTrue(acceptedBytes < 6 * 1024 * 1024, acceptedBytes + " bytes");
	}

	@Test
	public void aStalledCallerOfAUnaryResponseTimesOut() throws Exception {
		this.runner.script = (listener) -> {
			listener.onChatChunk(ScriptedRunner.chunk("x".repeat(12 * 1024 * 1024)));
			listener.onFinished(Receipt.newBuilder().setStatus(ReceiptStatus.COMPLETE).build());
		};
		Socket stalled = post(CHAT + "}", CHAT.length() + 1);
		await("the request runs", () -> !this.runner.requests.isEmpty());
		await("the connection is closed", () -> isConnectionReset(stalled));
	}

	@Test
	public void anIncompleteBodyTimesOutBeforeARun() throws Exception {
		this.runner.script = (listener) -> {
			// The response has not started, so the caller must not time out.
		};
		Socket waiting = post(CHAT + "}", CHAT.length() + 1);
		await("one request runs", () -> this.runner.requests.size() == 1);
		Socket idle = connect();
		Socket incomplete = post(CHAT, CHAT.length() + 100);
		assertEquals(incomplete.getInputStream().read(), -1);
		assertEquals(this.runner.requests.size(), 1);
		assertEquals(gateway().requestsInProgress(), 1);
		write(idle, "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + KEY + "\r\n\r\n");
		assertEquals(firstLine(idle), "HTTP/1.1 200 OK");
		waiting.close();
	}

	// Counts the chunks until the first caller is disconnected. The other streams
	// continue at a low rate until they stall too.
	private void streamEndlessly(ResponseListener listener) {
		boolean allConnected = this.runner.callerGone.getCount() > 0;
		listener.onChatChunk(CHUNK);
		this.acceptedChunks.addAndGet((allConnected) ? 1 : 0);
		Executor next = (allConnected) ? ForkJoinPool.commonPool()
				: CompletableFuture.delayedExecutor(1, TimeUnit.MILLISECONDS);
		listener.ready().thenRunAsync(() -> {
			if (gateway().requestsInProgress() > 0) {
				streamEndlessly(listener);
			}
		}, next);
	}

	private Socket post(String body, int length) throws IOException {
		Socket socket = connect();
		write(socket, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + KEY
				+ "\r\nContent-Type: application/json\r\nContent-Length: " + length + "\r\n\r\n" + body);
		return socket;
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(4 * 1024);
		socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
		socket.connect(new InetSocketAddress("127.0.0.1", gateway().port()));
		this.sockets.add(socket);
		return socket;
	}

	private HttpGateway gateway() {
		return Objects.requireNonNull(this.gateway);
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		socket.getOutputStream().flush();
	}

	// The gateway ignores empty lines before a request; a closed connection responds with
	// a reset.
	private static boolean isConnectionReset(Socket socket) {
		try {
			write(socket, "\r\n");
			return false;
		}
		catch (IOException ex) {
			return true;
		}
	}

	private static String firstLine(Socket socket) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = socket.getInputStream().read(); next >= 0
				&& next != '\r'; next = socket.getInputStream().read()) {
			line.append((char) next);
		}
		return line.toString();
	}

	private static void await(String what, BooleanSupplier condition) {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
		while (!condition.getAsBoolean()) {
			assertTrue(System.nanoTime() < endNanos, "Not within " + TIMEOUT_SECONDS + " s: " + what);
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
		}
	}

	private static OfficeConfig config() {
		BackendServerConfig engine = new BackendServerConfig("e1", BackendServerConfig.Kind.MODEL_ENGINE,
				"http://127.0.0.1:1", "s1", List.of("m1"), null, false);
		return new OfficeConfig(1, "office", "r1", List.of(new ModelConfig("m1", 1000, 100, 500, 8)), List.of(),
				List.of(engine), new LimitsConfig(2048, 60_000, 64, 1_000, 0), BudgetConfig.DEFAULT);
	}

}
