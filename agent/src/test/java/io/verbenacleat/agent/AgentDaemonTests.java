package io.verbenacleat.agent;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.agent.backend.FakeBackend;
import io.verbenacleat.agent.order.TestOrders;
import io.verbenacleat.core.config.BackendServerConfig;
import io.verbenacleat.core.config.BudgetConfig;
import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.DrainRow;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.member.ZoneMembers;
import io.verbenacleat.core.platform.InMemoryTableStore;
import io.verbenacleat.core.platform.Transaction;
import io.verbenacleat.core.platform.WeightsOutcome;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.core.rpc.FleetSecret;
import io.verbenacleat.proto.v1.AgentServiceGrpc;
import io.verbenacleat.proto.v1.CloseProcessRequest;
import io.verbenacleat.proto.v1.CloseProcessResponse;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.GetStatusRequest;
import io.verbenacleat.proto.v1.OrderState;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import io.verbenacleat.proto.v1.ResolveOrderRequest;
import io.verbenacleat.proto.v1.ResolveOrderResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Guards against orders that are aborted or run twice when gateways disconnect or agents
 * stop, over real gRPC and HTTP connections.
 */
@SuppressWarnings("NullAway.Init")
public class AgentDaemonTests {

	private static final String SECRET = "secret-of-the-test-fleet";

	private static final String USAGE = "{\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":1}}";

	private CountDownLatch release;

	private InMemoryTableStore store;

	private FakeHolder holder;

	private FakeBackend backend;

	private AgentDaemon agent;

	private Channels channels;

	@BeforeMethod
	public void start() throws Exception {
		this.release = new CountDownLatch(1);
		this.store = new InMemoryTableStore();
		this.holder = new FakeHolder(FleetSecret.of(SECRET));
		this.backend = new FakeBackend(this::respond).withModels("small");
		this.channels = new Channels(FleetSecret.of(SECRET));
		Head head = new Head(Map.of(Head.CONFIG, 1L, ZoneMembers.key("z"), 1L));
		ZoneMembers members = new ZoneMembers(List.of(entryMember("gateway"), entryMember("asker")));
		this.store.transact(Transaction.builder()
			.insert(Head.KEY, Json.write(head))
			.insert(ZoneMembers.key("z"), Json.write(members))
			.build());
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.release.countDown();
		if (this.agent != null) {
			this.agent.close();
		}
		this.channels.close();
		this.backend.close();
		this.holder.close();
	}

	private static Member entryMember(String incarnation) {
		return new Member(incarnation, Member.Role.ENTRY, "127.0.0.1:1", "127.0.0.1", "r", "z", "s", null, 0, 0);
	}

	@Test
	public void numbersThePartsAndReportsTheReceipt() throws Exception {
		startAgent(BackendServerConfig.Kind.MODEL_ENGINE);
		this.release.countDown();
		GatewayCall call = execute(chat(1));
		assertTrue(call.next().hasAccepted());
		assertEquals(call.next().getChatChunk().toStringUtf8(), FakeBackend.chunk("a"));
		assertEquals(call.next().getChatChunk().toStringUtf8(), USAGE);
		ExecuteEvent last = call.next();
		assertEquals(last.getPartNumber(), 3);
		assertEquals(last.getFinished().getPartCount(), 3);
		assertEquals(last.getFinished().getReceipt().getStatus(), ReceiptStatus.COMPLETE);
		assertEquals(this.holder.next(), last.getFinished().getReceipt());
		ResolveOrderResponse report = resolve(chat(1), false);
		assertEquals(report.getReceipt(), last.getFinished().getReceipt());
	}

	@Test
	public void cancelsARepeatableOrderWhoseGatewayLeft() throws Exception {
		startAgent(BackendServerConfig.Kind.MODEL_ENGINE);
		GatewayCall call = execute(chat(1));
		assertTrue(call.next().hasAccepted());
		assertTrue(call.next().hasChatChunk());
		call.cancel();
		assertEquals(this.holder.next().getStatus(), ReceiptStatus.CANCELLED);
	}

	@Test
	public void finishesANotRepeatableOrderWithoutItsGateway() throws Exception {
		startAgent(BackendServerConfig.Kind.SERVICE);
		GatewayCall call = execute(booking(1));
		assertTrue(call.next().hasAccepted());
		call.cancel();
		assertEquals(resolve(booking(1), true).getState(), OrderState.RUNNING);
		this.release.countDown();
		assertEquals(this.holder.next().getStatus(), ReceiptStatus.COMPLETE);
		ResolveOrderResponse report = resolve(booking(1), false);
		assertEquals(report.getState(), OrderState.FINISHED);
		assertEquals(report.getHttpHead().getStatus(), 201);
		assertEquals(report.getHttpBody().toStringUtf8(), "booked");
		assertEquals(this.backend.received().size(), 1);
	}

	@Test
	public void reportsTheOrdersOfAClosedProcess() throws Exception {
		startAgent(BackendServerConfig.Kind.SERVICE);
		assertTrue(execute(booking(1).toBuilder().setHolderIncarnation("asker").build()).next().hasAccepted());
		CloseProcessRequest request = CloseProcessRequest.newBuilder()
			.setIncarnation("gateway")
			.setAskingIncarnation("asker")
			.build();
		CloseProcessResponse response = stub().closeProcess(request);
		assertEquals(response.getInProgress(), 1);
		assertEquals(response.getExecutedRequestIdsList(), List.of("req-gateway-1"));
		assertEquals(execute(booking(2)).next().getRefused().getReason(), RefusalReason.GATEWAY_CLOSED);
	}

	@Test
	public void doesNotStartAResolvedOrder() throws Exception {
		startAgent(BackendServerConfig.Kind.MODEL_ENGINE);
		assertEquals(resolve(chat(1), false).getState(), OrderState.NEVER_STARTED);
		assertEquals(execute(chat(1)).next().getRefused().getReason(), RefusalReason.TOMBSTONED);
		assertEquals(this.backend.received().size(), 0);
	}

	@Test
	public void finishesOrdersBeforeItStops() throws Exception {
		startAgent(BackendServerConfig.Kind.MODEL_ENGINE);
		GatewayCall call = execute(chat(1));
		assertTrue(call.next().hasAccepted());
		CompletableFuture<Void> stopped = CompletableFuture.runAsync(this.agent::stopGracefully);
		awaitDraining();
		assertEquals(execute(chat(2)).next().getRefused().getReason(), RefusalReason.DRAINING);
		assertFalse(this.agent.ready());
		assertFalse(stopped.isDone());
		this.release.countDown();
		assertTrue(call.next().hasChatChunk());
		assertTrue(call.next().hasChatChunk());
		assertEquals(call.next().getFinished().getReceipt().getStatus(), ReceiptStatus.COMPLETE);
		stopped.get(30, TimeUnit.SECONDS);
		assertEquals(this.holder.next().getStatus(), ReceiptStatus.COMPLETE);
		assertEquals(processRow().state(), ProcessRow.State.CLOSED);
	}

	// Guards against an order that is sent to an engine without the model.
	@Test
	public void refusesAModelThatTheEngineHasNotLoaded() throws Exception {
		this.backend.withModels("other");
		startAgent(BackendServerConfig.Kind.MODEL_ENGINE);
		assertEquals(execute(chat(1)).next().getRefused().getReason(), RefusalReason.MODEL_NOT_SERVED);
		assertEquals(this.backend.received().size(), 0);
	}

	@Test
	public void drainsWhenAnOperatorSetsTheDrainRow() throws Exception {
		startAgent(BackendServerConfig.Kind.MODEL_ENGINE);
		Head head = new Head(Map.of(Head.CONFIG, 1L, Head.DRAIN, 1L));
		this.store.transact(Transaction.builder()
			.insert(DrainRow.key("server-1"), Json.write(new DrainRow(true, "operator", 0)))
			.putIf(Head.KEY, this.store.read(Head.KEY).join().version(), Json.write(head))
			.build());
		awaitDraining();
		assertEquals(execute(chat(1)).next().getRefused().getReason(), RefusalReason.DRAINING);
	}

	@Test
	public void refusesASecondAgentOnOnePort() throws Exception {
		startAgent(BackendServerConfig.Kind.MODEL_ENGINE);
		AgentSettings second = settings();
		second.rpcPort = this.agent.rpcPort();
		AgentStartException failure = expectThrows(AgentStartException.class,
				() -> AgentDaemon.start(second, this.store, () -> CompletableFuture.completedFuture(List.of()),
						AgentDaemonTests::fetch, () -> config(BackendServerConfig.Kind.MODEL_ENGINE),
						new PrometheusRegistry()));
		assertTrue(String.valueOf(failure.getMessage()).contains("another agent"), failure.getMessage());
		assertTrue(this.agent.ready());
	}

	private void respond(HttpExchange exchange) throws IOException {
		boolean chat = exchange.getRequestURI().getPath().endsWith("/completions");
		if (chat) {
			FakeBackend.writeEvents(exchange, FakeBackend.chunk("a"));
		}
		try {
			this.release.await();
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
		if (chat) {
			FakeBackend.writeEvents(exchange, USAGE, "[DONE]");
		}
		else {
			exchange.sendResponseHeaders(201, 0);
			exchange.getResponseBody().write("booked".getBytes(StandardCharsets.UTF_8));
		}
	}

	private static CompletableFuture<WeightsOutcome> fetch(String model) {
		return CompletableFuture.completedFuture(new WeightsOutcome.RateLimited(1_000));
	}

	private void startAgent(BackendServerConfig.Kind kind) throws Exception {
		this.agent = AgentDaemon.start(settings(), this.store, () -> CompletableFuture.completedFuture(List.of()),
				AgentDaemonTests::fetch, () -> config(kind), new PrometheusRegistry());
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		while (!this.agent.ready() && System.nanoTime() < deadline) {
			Thread.onSpinWait();
		}
		assertTrue(this.agent.ready());
	}

	private static AgentSettings settings() {
		AgentSettings settings = new AgentSettings();
		settings.name = "agent";
		settings.server = "server-1";
		settings.fleetSecret = SECRET;
		settings.region = "r";
		settings.zone = "z";
		settings.site = "s";
		return settings;
	}

	private CompletableFuture<OfficeConfig> config(BackendServerConfig.Kind kind) {
		BackendServerConfig server = new BackendServerConfig("server-1", kind, this.backend.url(), "s",
				List.of("small"), "bookings", true);
		return CompletableFuture.completedFuture(new OfficeConfig(1, "office", "r", List.of(), List.of(),
				List.of(server), LimitsConfig.DEFAULT, BudgetConfig.DEFAULT));
	}

	private ExecuteRequest chat(long sequence) {
		return TestOrders.order("gateway", this.agent.incarnation(), sequence)
			.setHolderAddress(this.holder.address())
			.setChat(TestOrders.chat(10))
			.build();
	}

	private ExecuteRequest booking(long sequence) {
		return chat(sequence).toBuilder().setRepeatable(false).setHttp(TestOrders.http("POST", "/bookings")).build();
	}

	private GatewayCall execute(ExecuteRequest request) {
		GatewayCall call = new GatewayCall();
		AgentServiceGrpc.newStub(this.channels.get("127.0.0.1:" + this.agent.rpcPort())).execute(request, call);
		return call;
	}

	private ResolveOrderResponse resolve(ExecuteRequest order, boolean cancel) {
		return stub()
			.resolveOrder(ResolveOrderRequest.newBuilder().setOrderId(order.getOrderId()).setCancel(cancel).build());
	}

	private AgentServiceGrpc.AgentServiceBlockingStub stub() {
		return AgentServiceGrpc.newBlockingStub(this.channels.get("127.0.0.1:" + this.agent.rpcPort()))
			.withDeadlineAfter(20, TimeUnit.SECONDS);
	}

	private void awaitDraining() {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		boolean draining = false;
		while (!draining && System.nanoTime() < deadline) {
			draining = stub().getStatus(GetStatusRequest.getDefaultInstance()).getDraining();
		}
		assertTrue(draining);
	}

	private ProcessRow processRow() throws JsonFormatException {
		return Json.read(this.store.read(ProcessRow.key(this.agent.incarnation())).join().json(), ProcessRow.class);
	}

}
