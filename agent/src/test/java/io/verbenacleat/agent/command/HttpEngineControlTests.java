package io.verbenacleat.agent.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;

import com.sun.net.httpserver.HttpExchange;
import io.verbenacleat.agent.backend.BackendCalls;
import io.verbenacleat.agent.backend.BackendTarget;
import io.verbenacleat.agent.backend.FakeBackend;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Guards against misclassified outcomes, after which a command would be repeated or
 * dropped wrongly.
 */
@SuppressWarnings("NullAway.Init")
public class HttpEngineControlTests {

	private int status;

	private String body;

	private FakeBackend backend;

	private BackendCalls calls;

	private HttpEngineControl engine;

	@BeforeMethod
	public void start() throws IOException {
		this.status = 200;
		this.body = "{}";
		this.backend = new FakeBackend(this::respond);
		this.calls = new BackendCalls();
		this.engine = new HttpEngineControl(this.calls, new BackendTarget(this.backend.url(), 7));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.calls.close();
		this.backend.close();
	}

	@Test
	public void sendsTheCommandOnceWithTheFencingToken() throws Exception {
		assertEquals(send(), CommandOutcome.ACCEPTED);
		FakeBackend.ReceivedRequest received = this.backend.received().get(0);
		assertEquals(received.headers().getFirst("Fencing-Token"), "7");
		assertEquals(received.body(), "{\"kind\":\"load-model\",\"model\":\"base\"}");
	}

	@Test
	public void distinguishesRefusalsFromLostAnswers() throws Exception {
		this.status = 409;
		assertEquals(send(), CommandOutcome.FENCED);
		this.status = 503;
		assertEquals(send(), CommandOutcome.REFUSED);
		this.status = 0;
		assertEquals(send(), CommandOutcome.UNKNOWN);
		assertEquals(this.backend.received().size(), 3);
		this.backend.close();
		assertEquals(send(), CommandOutcome.NOT_SENT);
	}

	@Test
	public void readsTheStateOfPlainAndOfExtendedEngines() throws Exception {
		this.body = "{\"role\":\"decode\",\"data\":[{\"id\":\"base\"},{\"id\":\"brief\",\"parent\":\"base\","
				+ "\"version\":\"2\",\"status\":\"loading\"}]}";
		EngineState state = this.engine.readState().get();
		assertEquals(state.role(), "decode");
		assertTrue(state.isLoaded("base") && !state.isLoaded("brief"));
		assertEquals(state.models().get("brief"), new EngineState.LoadedModel("base", "2", true));
		this.body = "{\"error\":\"starting\"}";
		expectThrows(ExecutionException.class, () -> this.engine.readState().get());
	}

	private CommandOutcome send() throws Exception {
		return this.engine.send(EngineCommand.loadModel("base")).get();
	}

	private void respond(HttpExchange exchange) throws IOException {
		if (this.status > 0) {
			byte[] bytes = this.body.getBytes(StandardCharsets.UTF_8);
			exchange.sendResponseHeaders(this.status, bytes.length);
			exchange.getResponseBody().write(bytes);
		}
	}

}
