package io.verbenacleat.router.relay;

import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.config.RequestKind;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.config.Workspace;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.repeat.RetryPolicy;
import io.verbenacleat.router.repeat.SendFailure;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller from its arrival to its last byte. Used on the event loop.
 */
final class RequestRun implements TokenBill.Listener {

	/** The backend server answers at the deadline itself; its answer takes some time. */
	private static final long DEADLINE_SLACK_MS = 150;

	/** A repeat that has less time than this cannot be served. */
	private static final long MIN_REPEAT_MS = 60;

	private static final double MS_PER_SECOND = 1_000;

	private static final int MAX_PRIORITY = 9;

	private static final int SERVER_ERROR = 500;

	private static final int MISDIRECTED = 421;

	private static final int MAX_DEADLINE_DIGITS = 9;

	private final Relay relay;

	private final CallerConnection caller;

	private final FullHttpRequest request;

	private final String requestId;

	private final long startedAtMs;

	private final int bodyBytes;

	private final Set<String> tried = new HashSet<>();

	private final CallerAnswer answer;

	private @Nullable Route route;

	private @Nullable Service service;

	private @Nullable Workspace workspace;

	private @Nullable TokenBill bill;

	private @Nullable ServerSend send;

	private boolean waitsForConfiguration;

	private long billOpenedAtMs;

	private long endsAtMs;

	private long affinityKey;

	private int sends;

	private boolean bodyReserved;

	private boolean mayHaveRun;

	private long billedTokens;

	private boolean ended;

	RequestRun(Relay relay, CallerConnection caller, FullHttpRequest request) {
		this.relay = relay;
		this.caller = caller;
		this.request = request;
		this.answer = new CallerAnswer(caller, relay.headerRules());
		this.startedAtMs = relay.nowMs();
		this.bodyBytes = request.content().readableBytes();
		String id = request.headers().get(relay.names().requestId());
		this.requestId = (id != null) ? id : "";
	}

	void start() {
		this.relay.started(this);
		this.bodyReserved = this.relay.reserveBody(this.bodyBytes);
		if (!this.bodyReserved) {
			refuse(Refusal.OVERLOADED);
			return;
		}
		selectRoute();
	}

	private void selectRoute() {
		RoutingTable table = this.relay.table();
		this.waitsForConfiguration = table == null;
		if (table == null) {
			refuseAfterStartWait();
			return;
		}
		if (this.relay.isRefusingRequests()) {
			refuse(Refusal.STOPPING);
			return;
		}
		String host = this.request.headers().get(HttpHeaderNames.HOST);
		Optional<Route> found = table.findRoute((host != null) ? host : "", this.request.uri());
		if (found.isEmpty()) {
			refuse(Refusal.NO_ROUTE);
			return;
		}
		Route matched = found.get();
		this.route = matched;
		String key = this.request.headers().get(this.relay.names().callerKey());
		this.workspace = (key != null) ? table.findWorkspaceByKey(key) : null;
		if (this.workspace == null && table.requiresKeys() && !matched.anonymous()) {
			refuse(Refusal.UNKNOWN_KEY);
			return;
		}
		this.service = table.service(matched.selectService(ThreadLocalRandom.current().nextDouble()));
		this.endsAtMs = this.startedAtMs + Math.min(matched.timeoutMs(), callerDeadlineMs(matched.timeoutMs()));
		this.affinityKey = PromptKey.of(this.request.headers().get(this.relay.names().promptPrefix()));
		if (this.service == null) {
			refuse(Refusal.NO_SERVER);
			return;
		}
		if (!this.relay.knowsServers()) {
			this.waitsForConfiguration = true;
			refuseAfterStartWait();
			return;
		}
		this.relay.retries().onRequest(this.service.name());
		openBill();
	}

	private void openBill() {
		Workspace payer = this.workspace;
		Optional<TokenUsage> usage = TokenUsage.parse(this.request.headers().get(this.relay.names().tokenUsage()));
		if (payer == null || !payer.isPrepaid() || usage.isEmpty()) {
			sendToServer();
			return;
		}
		this.billOpenedAtMs = this.relay.nowMs();
		TokenBill opened = new TokenBill(this.relay, this.relay.ledger().wallet(payer.name()), usage.get(), this);
		this.bill = opened;
		opened.open();
	}

	@Override
	public void onTokens() {
		sendToServer();
	}

	@Override
	public void onNoTokens(boolean allowanceUsedUp) {
		if (!this.ended) {
			refuse(allowanceUsedUp ? Refusal.PREPAID_EXHAUSTED : Refusal.PREPAID_UNAVAILABLE);
		}
	}

	/**
	 * The caller has closed its connection.
	 */
	void onCallerGone() {
		if (this.ended) {
			return;
		}
		this.relay.metrics().aborted("caller_gone");
		ServerSend running = this.send;
		if (running != null) {
			running.abandon();
		}
		close();
		logLine("request.abandoned", "caller is gone").emit();
	}

	void onCallerWritable(boolean writable) {
		ServerSend running = this.send;
		if (running != null) {
			running.setReading(writable);
		}
	}

	/**
	 * Checks the time limits.
	 * @param nowMs the steady time in milliseconds
	 */
	void sweep(long nowMs) {
		if (this.waitsForConfiguration && !this.ended) {
			selectRoute();
		}
		if (this.ended || this.route == null) {
			return;
		}
		TokenBill opened = this.bill;
		if (opened != null && opened.isWaiting()
				&& !StartWait.waitsForTokens(this.relay.sinceStartMs(), nowMs - this.billOpenedAtMs)) {
			refuse(Refusal.PREPAID_UNAVAILABLE);
			return;
		}
		ServerSend running = this.send;
		if (nowMs >= this.endsAtMs + ((this.sends > 0) ? DEADLINE_SLACK_MS : 0)) {
			if (running != null) {
				running.abandon();
			}
			this.send = null;
			if (this.answer.isStarted()) {
				abort("time limit");
			}
			else {
				refuse(this.mayHaveRun ? Refusal.TIMED_OUT : Refusal.TIMED_OUT_UNSENT);
			}
			return;
		}
		if (running != null && running.isStalled(nowMs) && mayRepeat(true) && hasOtherServer(nowMs)) {
			running.fail("server is silent");
		}
	}

	// A slow answer is better than none.
	private boolean hasOtherServer(long nowMs) {
		Service target = this.service;
		return target != null && this.relay.retries().canRetry(target.name())
				&& this.relay.states().hasAvailableServer(target.name(), this.tried, nowMs);
	}

	/**
	 * Ends the request after an unexpected error, without a further answer.
	 */
	void breakOff() {
		try {
			onCallerGone();
		}
		finally {
			this.relay.ended(this);
			this.caller.abort();
		}
	}

	private void refuseAfterStartWait() {
		long waitedMs = this.relay.nowMs() - this.startedAtMs;
		if (!StartWait.waitsForConfiguration(this.relay.sinceStartMs(), waitedMs)) {
			refuse(Refusal.NOT_CONFIGURED);
		}
	}

	private void sendToServer() {
		Service target = this.service;
		Route matched = this.route;
		if (this.ended || target == null || matched == null) {
			return;
		}
		Optional<ServerState> selected = this.relay.states()
			.select(target.name(), target.modelService(), this.affinityKey, this.tried, this.relay.nowMs());
		if (selected.isEmpty()) {
			giveUp(Refusal.NO_SERVER, "no server takes requests");
			return;
		}
		ServerState state = selected.get();
		ServerSend next = new ServerSend(this, state, target, matched);
		this.send = next;
		this.relay.connections().acquire(state.server(), Math.max(1, target.maxConnections() / 2), next);
	}

	FullHttpRequest requestFor(ServerState state, Route matched) {
		HeaderNames names = this.relay.names();
		FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.method(),
				this.request.uri(), this.request.content().retainedDuplicate());
		this.relay.headerRules().copyRequest(this.request.headers(), copy.headers());
		long leftMs = Math.max(1, this.endsAtMs - this.relay.nowMs());
		copy.headers().set(names.deadlineMs(), Long.toString(leftMs));
		copy.headers().set(names.targetServer(), state.server().id());
		Workspace payer = this.workspace;
		if (payer != null) {
			copy.headers().set(names.workspace(), payer.name());
		}
		if (matched.affinity()) {
			int priority = (payer != null && payer.priority() >= 0) ? payer.priority() : matched.priority();
			copy.headers().set(names.priority(), Integer.toString(Math.min(MAX_PRIORITY, priority)));
		}
		String lastId = this.answer.lastEventId();
		if (this.answer.isStarted() && lastId != null) {
			copy.headers().set(names.lastEventId(), lastId);
		}
		if (this.bodyBytes > 0 || HttpUtil.isContentLengthSet(this.request)
				|| HttpUtil.isTransferEncodingChunked(this.request)) {
			copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, this.bodyBytes);
		}
		return copy;
	}

	Relay relay() {
		return this.relay;
	}

	String requestId() {
		return this.requestId;
	}

	boolean isCallerWritable() {
		return this.caller.isWritable();
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Notes that the request is about to be sent.
	 * @param state the server
	 */
	void markSent(ServerState state) {
		this.sends++;
		this.mayHaveRun = true;
		this.tried.add(state.server().id());
		this.relay.metrics().sent();
		logLine("request.sent", "selected").with("server", state.server().id())
			.with("load", (long) state.load())
			.with("own_load", state.inFlight())
			.emit();
	}

	/**
	 * A send has ended without an answer to forward.
	 * @param ended the send
	 * @param result what is known of it
	 * @param reason why
	 * @param ranBefore whether the request may have run in an earlier send
	 */
	void onSendFailed(ServerSend ended, SendFailure result, String reason, boolean ranBefore) {
		if (this.send != ended || this.ended) {
			return;
		}
		this.send = null;
		if (result == SendFailure.NOT_SENT || result == SendFailure.NOT_RUN) {
			this.mayHaveRun = ranBefore;
		}
		this.tried.add(ended.serverId());
		logLine("request.send_failed", reason).with("server", ended.serverId()).with("result", result.name()).emit();
		Service target = this.service;
		if (target != null && mayRepeat(this.mayHaveRun)
				&& (this.sends == 0 || this.relay.retries().tryAcquire(target.name()))) {
			this.relay.metrics().repeated(result.name().toLowerCase(Locale.ROOT));
			if (this.answer.isStarted()) {
				this.answer.dropPartialEvent();
			}
			sendToServer();
			return;
		}
		giveUp(this.mayHaveRun ? Refusal.ANSWER_LOST : Refusal.NO_SERVER, reason);
	}

	private void giveUp(Refusal refusal, String reason) {
		if (this.answer.isStarted()) {
			abort(reason);
			return;
		}
		refuse((refusal == Refusal.NO_SERVER && this.mayHaveRun) ? Refusal.ANSWER_LOST : refusal);
	}

	private boolean mayRepeat(boolean ran) {
		Route matched = this.route;
		if (matched == null || this.endsAtMs - this.relay.nowMs() < MIN_REPEAT_MS) {
			return false;
		}
		if (this.answer.isStarted()
				&& (matched.kind() != RequestKind.RESUMABLE_STREAM || this.answer.lastEventId() == null)) {
			return false;
		}
		return RetryPolicy.mayRetry(matched.kind(), this.sends, matched.maxAttempts(), ran);
	}

	/**
	 * Decides whether the head of an answer is forwarded.
	 * @param response the head
	 * @return the result that stands against it, {@code null} to forward it
	 */
	@Nullable
	SendFailure judge(HttpResponse response) {
		int status = response.status().code();
		if (response.headers().contains(this.relay.names().notRun()) || status == MISDIRECTED) {
			return SendFailure.NOT_RUN;
		}
		if (this.answer.isStarted()) {
			return (response.status().codeClass() == HttpStatusClass.SUCCESS) ? null : SendFailure.FAILED;
		}
		Route matched = this.route;
		if (status >= SERVER_ERROR && matched != null && matched.kind() == RequestKind.IDEMPOTENT && mayRepeat(true)) {
			return SendFailure.FAILED;
		}
		return null;
	}

	void forwardHead(HttpResponse response) {
		Route matched = this.route;
		if (this.answer.isStarted() || matched == null) {
			return;
		}
		this.relay.metrics().firstByte(matched.kind(), this.relay.nowMs() - this.startedAtMs);
		this.answer.start(response, this.request.method(), matched.kind().isStream());
	}

	/**
	 * Returns the answer on its way to the caller.
	 * @return the answer
	 */
	CallerAnswer answer() {
		return this.answer;
	}

	void flush() {
		this.caller.flush();
	}

	void onAnswerEnd(ServerState state, int status) {
		this.answer.sendPartialEvent();
		this.send = null;
		this.relay.metrics().answered(status);
		close();
		logLine("request.answered", "complete").with("server", state.server().id()).with("status", status).emit();
		this.caller.end();
	}

	private void abort(String reason) {
		this.relay.metrics().aborted("answer_broken");
		close();
		logLine("request.aborted", reason).emit();
		this.caller.flush();
		this.caller.abort();
	}

	private void refuse(Refusal refusal) {
		this.relay.metrics().refused(refusal);
		close();
		logLine("request.refused", Relay.code(refusal)).emit();
		String retryAfter = "";
		if (refusal.isTemporary()) {
			Service target = this.service;
			long pauseMs = (refusal == Refusal.NO_SERVER && target != null)
					? this.relay.states().remainingPauseMs(target.name(), this.relay.nowMs()) : 0;
			long leftMs = callerDeadlineMs(Integer.MAX_VALUE) - (this.relay.nowMs() - this.startedAtMs);
			long afterMs = ReturnTime.afterMs(refusal, pauseMs, leftMs, ThreadLocalRandom.current().nextDouble());
			retryAfter = String.format(Locale.ROOT, "%.3f", afterMs / MS_PER_SECOND);
		}
		this.caller.sendWhole(refusal.status(), retryAfter, Relay.PROBLEM_TYPE, Relay.problem(refusal, this.requestId));
	}

	private void close() {
		this.ended = true;
		this.send = null;
		this.answer.dropPartialEvent();
		this.relay.ended(this);
		if (this.bodyReserved) {
			this.relay.releaseBody(this.bodyBytes);
		}
		TokenBill opened = this.bill;
		Service target = this.service;
		if (opened != null && target != null) {
			this.billedTokens = opened.settle(this.mayHaveRun, (long) this.answer.events() * target.tokensPerEvent());
		}
		this.request.release();
	}

	private long callerDeadlineMs(long withoutHeaderMs) {
		String header = this.request.headers().get(this.relay.names().deadlineMs());
		if (header == null || header.isEmpty() || header.length() > MAX_DEADLINE_DIGITS
				|| !header.chars().allMatch((digit) -> digit >= '0' && digit <= '9')) {
			return withoutHeaderMs;
		}
		return Long.parseLong(header);
	}

	private DecisionLog.Line logLine(String event, String reason) {
		DecisionLog.Line line = this.relay.log()
			.event(event)
			.with("request", this.requestId)
			.with("reason", reason)
			.with("elapsed_ms", this.relay.nowMs() - this.startedAtMs)
			.with("left_ms", this.endsAtMs - this.relay.nowMs())
			.with("sends", this.sends)
			.with("billed_tokens", this.billedTokens);
		Route matched = this.route;
		if (matched != null) {
			line.with("route", matched.name());
		}
		Workspace payer = this.workspace;
		if (payer != null) {
			line.with("workspace", payer.name());
		}
		RoutingTable table = this.relay.table();
		return line.with("config_version", (table != null) ? table.version() : -1);
	}

}
