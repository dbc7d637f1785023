package io.verbenacleat.router.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.verbenacleat.router.balance.RequestDescription;
import io.verbenacleat.router.balance.ServerState;
import io.verbenacleat.router.budget.Wallet;
import io.verbenacleat.router.config.RequestKind;
import io.verbenacleat.router.config.Route;
import io.verbenacleat.router.config.RoutingTable;
import io.verbenacleat.router.config.Service;
import io.verbenacleat.router.config.Workspace;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.quarantine.PartQuarantine;
import io.verbenacleat.router.quarantine.PromptParts;
import io.verbenacleat.router.quarantine.RequestName;
import io.verbenacleat.router.repeat.RetryPolicy;
import io.verbenacleat.router.repeat.SendFailure;
import io.verbenacleat.router.server.BackendServer;
import io.verbenacleat.router.stream.OriginLookup;
import io.verbenacleat.router.stream.StreamOrigin;
import org.jspecify.annotations.Nullable;

/**
 * Handles one request of a caller from its arrival to the last byte of its response:
 * routing, reservation of tokens, attempts at backend servers, and time limits. Not
 * thread safe; confined to the event loop of the relay.
 */
final class RelayedRequest implements TokenReservation.Listener {

	/** Extra wait for a response that the backend server itself sends at the deadline. */
	private static final long DEADLINE_SLACK_MS = 150;

	/** A retry with less time until the deadline cannot succeed. */
	private static final long MIN_RETRY_MS = 60;

	private static final double MS_PER_SECOND = 1_000;

	private static final int MAX_PRIORITY = 9;

	private static final int SERVER_ERROR = 500;

	private static final int MISDIRECTED_REQUEST = 421;

	private static final int MAX_DEADLINE_DIGITS = 9;

	private final Relay relay;

	private final CallerConnection caller;

	private final FullHttpRequest request;

	private final String requestId;

	private final long startedAtMs;

	private final int bodyBytes;

	private final Set<String> triedServerIds = new HashSet<>();

	/** The shared parts of the prompt and the name of the request. */
	private List<String> parts = List.of();

	private String name = "";

	private final CallerResponse response;

	private @Nullable Route route;

	private @Nullable Service service;

	private @Nullable Workspace workspace;

	private @Nullable TokenReservation reservation;

	private @Nullable ServerAttempt attempt;

	private boolean waitingForConfiguration;

	private long reservationStartedAtMs;

	private long deadlineAtMs;

	private long affinityKey;

	/** Whether the key is that of a part that may crash servers. */
	private boolean suspect;

	/** The only software version that may run the request, {@code null} for any. */
	private @Nullable String version;

	/** Whether the request resumes a stream that was begun at the version. */
	private boolean begunBefore;

	private int sendCount;

	private String refusedPart = "";

	private long partRetryAfterMs;

	private long warmUpRetryAfterMs;

	/** Whether this request tries a refused part. */
	private boolean trial;

	private boolean bodyMemoryReserved;

	private boolean mayHaveRun;

	private long billedTokens;

	private boolean ended;

	RelayedRequest(Relay relay, CallerConnection caller, FullHttpRequest request) {
		this.relay = relay;
		this.caller = caller;
		this.request = request;
		this.response = new CallerResponse(caller, relay.headerFilter());
		this.startedAtMs = relay.nowMs();
		this.bodyBytes = request.content().readableBytes();
		String id = request.headers().get(relay.headerNames().requestId());
		this.requestId = (id != null) ? id : "";
	}

	void start() {
		this.relay.addRequest(this);
		this.bodyMemoryReserved = this.relay.reserveBodyMemory(this.bodyBytes);
		if (!this.bodyMemoryReserved) {
			refuse(Refusal.OVERLOADED);
			return;
		}
		selectRoute();
	}

	private void selectRoute() {
		RoutingTable table = this.relay.table();
		this.waitingForConfiguration = table == null;
		if (table == null) {
			refuseAfterStartupWait();
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
		String key = this.request.headers().get(this.relay.headerNames().callerKey());
		this.workspace = (key != null) ? table.findWorkspaceByKey(key) : null;
		if (this.workspace == null && table.requiresKeys() && !matched.anonymous()) {
			refuse(Refusal.UNKNOWN_KEY);
			return;
		}
		if (this.name.isEmpty()) {
			nameRequest();
		}
		this.service = table.service(matched.selectService(ThreadLocalRandom.current().nextDouble()));
		this.deadlineAtMs = this.startedAtMs + Math.min(matched.timeoutMs(), callerTimeoutMs(matched.timeoutMs()));
		this.affinityKey = PromptPrefixKey.of(this.request.headers().get(this.relay.headerNames().promptPrefix()));
		if (this.service == null) {
			refuse(Refusal.NO_SERVER);
			return;
		}
		if (!this.relay.hasServerList()) {
			this.waitingForConfiguration = true;
			refuseAfterStartupWait();
			return;
		}
		if (this.relay.states().isEvacuated(this.service.name())) {
			refuse(Refusal.ZONES_EVACUATED);
			return;
		}
		long waitedMs = this.relay.nowMs() - this.startedAtMs;
		if (!this.relay.quarantine().hasReports()
				&& StartupWaitPolicy.shouldWaitForConfiguration(this.relay.uptimeMs(), waitedMs)) {
			this.waitingForConfiguration = true;
			return;
		}
		PartQuarantine.Decision decision = this.relay.quarantine().decide(this.parts);
		if (decision.isRefused()) {
			refuse(decision);
			return;
		}
		this.trial = decision.trial();
		if (!decision.suspectPart().isEmpty()) {
			// All requests with the part go to the same server, so that they end no
			// other.
			this.affinityKey = PromptPrefixKey.ofPart(decision.suspectPart());
			this.suspect = true;
		}
		if (resumesStream()) {
			findVersion(this.service);
			return;
		}
		admit(this.service);
	}

	private boolean resumesStream() {
		Route matched = this.route;
		return matched != null && matched.kind() == RequestKind.RESUMABLE_STREAM
				&& this.request.headers().contains(this.relay.headerNames().lastEventId());
	}

	private void findVersion(Service target) {
		Workspace payer = this.workspace;
		this.relay.streamOrigins()
			.find(resumedId(), target.name(), (payer != null) ? payer.name() : "", this.relay.executor(), (lookup) -> {
				if (!this.ended) {
					onVersion(target, lookup);
				}
			});
	}

	private void onVersion(Service target, OriginLookup lookup) {
		String source = lookup.source().name().toLowerCase(Locale.ROOT);
		this.relay.metrics().streamLookedUp(source);
		logLine("stream.looked_up", source).with("resumes", resumedId()).with("version", lookup.version()).emit();
		if (!lookup.isKnown()) {
			refuse((lookup.source() == OriginLookup.Source.UNAVAILABLE) ? Refusal.STREAM_NOT_FOUND
					: Refusal.STREAM_UNKNOWN);
			return;
		}
		this.version = lookup.version();
		this.begunBefore = true;
		if (usableServers(target).noneMatch(this::isOfVersion)) {
			refuse(Refusal.STREAM_VERSION_GONE);
			return;
		}
		admit(target);
	}

	private void admit(Service target) {
		this.relay.retries().onRequest(target.name());
		reserveTokens();
	}

	private void nameRequest() {
		Workspace payer = this.workspace;
		String prompt = this.request.headers().get(this.relay.headerNames().promptPrefix());
		this.name = RequestName.of(this.request.method().name(), this.request.uri(),
				(payer != null) ? payer.name() : "", prompt, this.request.content().nioBuffers());
		List<String> ids = new ArrayList<>(PromptParts.shared(prompt));
		ids.add(this.name);
		this.parts = List.copyOf(ids);
	}

	private void refuse(PartQuarantine.Decision decision) {
		this.refusedPart = decision.refusedPart();
		this.partRetryAfterMs = decision.retryAfterMs();
		if (RequestName.isName(decision.refusedPart())) {
			giveUp(Refusal.REQUEST_REFUSED, "request is refused");
		}
		else {
			giveUp(Refusal.PART_REFUSED, "part is refused");
		}
	}

	private void reserveTokens() {
		Workspace payer = this.workspace;
		Optional<TokenUsage> declaredTokens = TokenUsage
			.parse(this.request.headers().get(this.relay.headerNames().tokenUsage()));
		if (payer == null || !payer.isPrepaid() || declaredTokens.isEmpty()) {
			sendToServer();
			return;
		}
		this.reservationStartedAtMs = this.relay.nowMs();
		TokenReservation newReservation = new TokenReservation(this.relay, this.relay.ledger().wallet(payer.name()),
				declaredTokens.get(), this);
		this.reservation = newReservation;
		newReservation.reserve();
	}

	@Override
	public void onTokensReserved() {
		sendToServer();
	}

	@Override
	public void onTokensUnavailable(boolean allowanceUsedUp) {
		if (!this.ended) {
			refuse(allowanceUsedUp ? Refusal.PREPAID_EXHAUSTED : Refusal.PREPAID_UNAVAILABLE);
		}
	}

	/**
	 * Ends the request because the caller closed its connection.
	 */
	void onCallerDisconnected() {
		if (this.ended) {
			return;
		}
		this.relay.metrics().aborted("caller_gone");
		ServerAttempt currentAttempt = this.attempt;
		if (currentAttempt != null) {
			currentAttempt.abandon();
		}
		close();
		logLine("request.abandoned", "caller disconnected").emit();
	}

	void onCallerWritable(boolean writable) {
		ServerAttempt currentAttempt = this.attempt;
		if (currentAttempt != null) {
			currentAttempt.setReading(writable);
		}
	}

	/**
	 * Ends the wait for the configuration or tokens, the request or a stalled attempt
	 * when its time limit is reached.
	 * @param nowMs the monotonic time in milliseconds
	 */
	void checkTimeouts(long nowMs) {
		if (this.waitingForConfiguration && !this.ended) {
			selectRoute();
		}
		if (this.ended || this.route == null) {
			return;
		}
		TokenReservation currentReservation = this.reservation;
		if (currentReservation != null && currentReservation.isWaiting()
				&& !StartupWaitPolicy.shouldWaitForTokens(this.relay.uptimeMs(), nowMs - this.reservationStartedAtMs)) {
			refuse(Refusal.PREPAID_UNAVAILABLE);
			return;
		}
		ServerAttempt currentAttempt = this.attempt;
		if (currentAttempt != null) {
			currentAttempt.checkSilence(nowMs);
		}
		if (nowMs >= this.deadlineAtMs + ((this.sendCount > 0) ? DEADLINE_SLACK_MS : 0)) {
			if (currentAttempt != null) {
				currentAttempt.abandon();
			}
			this.attempt = null;
			if (this.response.isStarted()) {
				abort("time limit");
			}
			else {
				refuse(this.mayHaveRun ? Refusal.TIMED_OUT : Refusal.TIMED_OUT_UNSENT);
			}
			return;
		}
		if (currentAttempt != null && currentAttempt.isStalled(nowMs) && mayRetry(true) && canRetryElsewhere(nowMs)) {
			currentAttempt.fail("server is silent");
		}
	}

	// A stalled attempt is ended only if a retry is possible, because a slow response is
	// better than none.
	private boolean canRetryElsewhere(long nowMs) {
		Service target = this.service;
		if (target == null || !this.relay.retries().canRetry(target.name())) {
			return false;
		}
		Set<String> excluded = isVersionFixed() ? excludedServers(target) : this.triedServerIds;
		return this.relay.states().hasAvailableServer(target.name(), excluded, nowMs);
	}

	/**
	 * Ends the request after an unexpected error and closes the caller's connection.
	 */
	void terminate() {
		try {
			onCallerDisconnected();
		}
		finally {
			this.relay.removeRequest(this);
			this.caller.abort();
		}
	}

	private void refuseAfterStartupWait() {
		long waitedMs = this.relay.nowMs() - this.startedAtMs;
		if (!StartupWaitPolicy.shouldWaitForConfiguration(this.relay.uptimeMs(), waitedMs)) {
			refuse(Refusal.NOT_CONFIGURED);
		}
	}

	private void sendToServer() {
		Service target = this.service;
		Route matched = this.route;
		if (this.ended || target == null || matched == null) {
			return;
		}
		PartQuarantine.Decision decision = this.relay.quarantine().check(this.parts);
		if (!this.trial && decision.isRefused()) {
			refuse(decision);
			return;
		}
		Optional<ServerState> selected = select(target, excludedServers(target));
		if (selected.isEmpty() && !isVersionFixed()) {
			this.version = null;
			selected = select(target, excludedServers(target));
		}
		if (selected.isEmpty()) {
			giveUp(unavailability(target), "no server accepts requests");
			return;
		}
		ServerState state = selected.get();
		if (matched.kind() == RequestKind.RESUMABLE_STREAM && !isVersionFixed()) {
			this.version = state.server().softwareVersion();
			if (!this.relay.streamOrigins().begin(this.requestId, origin(target), matched.timeoutMs())) {
				replaceOrigin(target);
				return;
			}
		}
		ServerAttempt next = new ServerAttempt(this, state, target, matched);
		this.attempt = next;
		this.relay.connections().acquire(state.server(), Math.max(1, target.maxConnections() / 2), next);
	}

	private Refusal unavailability(Service target) {
		if (this.relay.states().isEvacuated(target.name())) {
			return Refusal.ZONES_EVACUATED;
		}
		Set<String> excluded = excludedServers(target);
		long nowMs = this.relay.nowMs();
		OptionalLong warmUpDelayMs = this.relay.states().warmUpDelayMs(target.name(), excluded, nowMs);
		if (warmUpDelayMs.isPresent()) {
			this.warmUpRetryAfterMs = warmUpDelayMs.getAsLong();
			return Refusal.SERVERS_WARMING_UP;
		}
		boolean limited = this.relay.states().isLimited(target.name(), excluded, nowMs);
		return limited ? Refusal.SERVERS_LIMITED : Refusal.NO_SERVER;
	}

	// The request goes on once its record names the new version.
	private void replaceOrigin(Service target) {
		this.relay.streamOrigins().replace(this.requestId, origin(target), this.relay.executor(), (replaced) -> {
			if (this.ended) {
				return;
			}
			if (replaced) {
				sendToServer();
			}
			else {
				giveUp(Refusal.NO_SERVER, "no other server of the version");
			}
		});
	}

	private StreamOrigin origin(Service target) {
		Workspace payer = this.workspace;
		return new StreamOrigin(target.name(), String.valueOf(this.version), (payer != null) ? payer.name() : "");
	}

	/**
	 * Returns whether a part of the stream was written by a server of the version.
	 * @return {@code false} while servers of other versions may begin it
	 */
	private boolean isVersionFixed() {
		return this.begunBefore || this.response.isStarted();
	}

	private boolean isOfVersion(BackendServer server) {
		String only = this.version;
		return only == null || server.softwareVersion().equals(only);
	}

	private Stream<BackendServer> usableServers(Service target) {
		return this.relay.states()
			.usable(target.name())
			.stream()
			.map((server) -> this.relay.states().state(server).server());
	}

	private Optional<ServerState> select(Service target, Set<String> excluded) {
		return this.relay.states()
			.select(target.name(), target.modelService(), describe(), excluded, this.relay.nowMs());
	}

	/**
	 * Describes the request for the selection of a server.
	 * @return the description
	 */
	RequestDescription describe() {
		long promptTokens = TokenUsage.parse(this.request.headers().get(this.relay.headerNames().tokenUsage()))
			.map(TokenUsage::promptTokens)
			.orElse(0L);
		long sharedTokens = PromptParts
			.sharedTokens(this.request.headers().get(this.relay.headerNames().promptPrefix()));
		return new RequestDescription(this.affinityKey, promptTokens, sharedTokens, this.suspect);
	}

	// A stream goes on at its version, and begins at one that all routers can know.
	private Set<String> excludedServers(Service target) {
		Route matched = this.route;
		if (matched == null || matched.kind() != RequestKind.RESUMABLE_STREAM) {
			return this.triedServerIds;
		}
		Predicate<BackendServer> tried = (server) -> this.triedServerIds.contains(server.id());
		Predicate<BackendServer> suitable = this::isOfVersion;
		if (this.version == null) {
			Predicate<BackendServer> shared = (server) -> this.relay.streamOrigins()
				.isShared(target.name(), server.softwareVersion());
			// A router without the store may know none of them.
			suitable = usableServers(target).filter(tried.negate()).anyMatch(shared) ? shared : (server) -> true;
		}
		return usableServers(target).filter(tried.or(suitable.negate()))
			.map(BackendServer::id)
			.collect(Collectors.toSet());
	}

	FullHttpRequest createServerRequest(ServerState state, Route matched) {
		HeaderNames names = this.relay.headerNames();
		FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.method(),
				this.request.uri(), this.request.content().retainedDuplicate());
		this.relay.headerFilter().copyRequest(this.request.headers(), copy.headers());
		long remainingMs = Math.max(1, this.deadlineAtMs - this.relay.nowMs());
		copy.headers().set(names.deadlineMs(), Long.toString(remainingMs));
		copy.headers().set(names.targetServer(), state.server().id());
		Workspace payer = this.workspace;
		if (payer != null) {
			copy.headers().set(names.workspace(), payer.name());
		}
		if (matched.affinity()) {
			int priority = (payer != null && payer.priority() >= 0) ? payer.priority() : matched.priority();
			copy.headers().set(names.priority(), Integer.toString(Math.min(MAX_PRIORITY, priority)));
		}
		String lastId = this.response.lastEventId();
		if (this.response.isStarted() && lastId != null) {
			copy.headers().set(names.lastEventId(), lastId);
		}
		if (this.bodyBytes > 0 || HttpUtil.isContentLengthSet(this.request)
				|| HttpUtil.isTransferEncodingChunked(this.request)) {
			copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, this.bodyBytes);
		}
		return copy;
	}

	// Several values name no request.
	private String resumedId() {
		List<String> values = this.request.headers().getAll(this.relay.headerNames().resumes());
		return (values.size() == 1) ? values.get(0) : "";
	}

	Relay relay() {
		return this.relay;
	}

	String requestId() {
		return this.requestId;
	}

	HttpMethod method() {
		return this.request.method();
	}

	/**
	 * Returns the time until the deadline.
	 * @return the time in milliseconds, negative after the deadline
	 */
	long remainingMs() {
		return this.deadlineAtMs - this.relay.nowMs();
	}

	boolean isCallerWritable() {
		return this.caller.isWritable();
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Records that the request is about to be sent.
	 * @param state the server
	 */
	void markSent(ServerState state) {
		this.sendCount++;
		this.mayHaveRun = true;
		this.triedServerIds.add(state.server().id());
		this.relay.metrics().sent();
		if (this.relay.states().isReduced(state.server().service())) {
			this.relay.metrics().sentDuringEvacuation();
		}
		logLine("request.sent", "selected").with("server", state.server().id())
			.with("version", state.server().softwareVersion())
			.with("resumes", resumedId())
			.with("load", (long) state.load())
			.with("own_load", state.inFlight())
			.emit();
	}

	/**
	 * Handles an attempt that ended without a complete response, by a retry if possible.
	 * @param failedAttempt the attempt
	 * @param result how the attempt ended
	 * @param reason the reason, for logs
	 * @param mayHaveRunBefore whether the request may have run in an earlier attempt
	 */
	void onAttemptFailed(ServerAttempt failedAttempt, SendFailure result, String reason, boolean mayHaveRunBefore) {
		if (this.attempt != failedAttempt || this.ended) {
			return;
		}
		this.attempt = null;
		if (result == SendFailure.NOT_SENT || result == SendFailure.NOT_RUN) {
			this.mayHaveRun = mayHaveRunBefore;
		}
		if (!failedAttempt.lacksPermit()) {
			this.triedServerIds.add(failedAttempt.serverId());
		}
		logLine("request.send_failed", reason).with("server", failedAttempt.serverId())
			.with("result", result.name())
			.with("events", this.response.eventCount())
			.with("parts", String.join(",", parts()))
			.with("name", this.name)
			.emit();
		Service target = this.service;
		// A request that may have crashed the server would crash one more.
		if (target != null && result != SendFailure.CRASHED && mayRetry(this.mayHaveRun)
				&& (this.sendCount == 0 || this.relay.retries().tryAcquire(target.name()))) {
			this.relay.metrics().retried(result.name().toLowerCase(Locale.ROOT));
			if (this.response.isStarted()) {
				this.response.dropPartialEvent();
			}
			sendToServer();
			return;
		}
		giveUp(this.mayHaveRun ? Refusal.ANSWER_LOST : Refusal.NO_SERVER, reason);
	}

	/**
	 * Returns what may be the cause if the server crashes: the ids of the shared prompt
	 * parts and the name of the request.
	 * @return the ids, empty before the request has a route
	 */
	List<String> parts() {
		return this.parts;
	}

	private void giveUp(Refusal refusal, String reason) {
		if (this.response.isStarted()) {
			abort(reason);
			return;
		}
		refuse((refusal.isNotRun() && this.mayHaveRun) ? Refusal.ANSWER_LOST : refusal);
	}

	private boolean mayRetry(boolean alreadyRan) {
		Route matched = this.route;
		if (matched == null || this.deadlineAtMs - this.relay.nowMs() < MIN_RETRY_MS) {
			return false;
		}
		if (this.response.isStarted()
				&& (matched.kind() != RequestKind.RESUMABLE_STREAM || this.response.lastEventId() == null)) {
			return false;
		}
		return RetryPolicy.mayRetry(matched.kind(), this.sendCount, matched.maxAttempts(), alreadyRan);
	}

	/**
	 * Classifies a response by its head.
	 * @param response the head
	 * @return the result of the failed attempt, {@code null} if the response should be
	 * forwarded
	 */
	@Nullable
	SendFailure failureResult(HttpResponse response) {
		int status = response.status().code();
		if (response.headers().contains(this.relay.headerNames().notRun()) || status == MISDIRECTED_REQUEST) {
			return SendFailure.NOT_RUN;
		}
		if (this.response.isStarted()) {
			return (response.status().codeClass() == HttpStatusClass.SUCCESS) ? null : SendFailure.FAILED;
		}
		Route matched = this.route;
		if (status >= SERVER_ERROR && matched != null && matched.kind() == RequestKind.IDEMPOTENT && mayRetry(true)) {
			return SendFailure.FAILED;
		}
		return null;
	}

	void forwardHead(HttpResponse response) {
		Route matched = this.route;
		if (this.response.isStarted() || matched == null) {
			return;
		}
		this.relay.metrics().firstByte(matched.kind(), this.relay.nowMs() - this.startedAtMs);
		this.response.start(response, this.request.method(), matched.kind().isStream());
	}

	/**
	 * Returns the response to the caller.
	 * @return the response
	 */
	CallerResponse response() {
		return this.response;
	}

	void flush() {
		this.caller.flush();
	}

	void onResponseComplete(ServerState state, int status) {
		this.response.sendPartialEvent();
		this.attempt = null;
		this.relay.metrics().responded(status);
		close();
		logLine("request.answered", "complete").with("server", state.server().id())
			.with("status", status)
			.with("bytes", this.response.sentBytes())
			.emit();
		this.caller.endResponse();
	}

	private void abort(String reason) {
		this.relay.metrics().aborted("answer_broken");
		close();
		logLine("request.aborted", reason).with("bytes", this.response.sentBytes()).emit();
		this.caller.flush();
		this.caller.abort();
	}

	private void refuse(Refusal refusal) {
		this.relay.metrics().refused(refusal);
		close();
		DecisionLog.Line line = logLine("request.refused", Relay.code(refusal));
		TokenReservation unserved = this.reservation;
		if (unserved != null && (refusal == Refusal.PREPAID_UNAVAILABLE || refusal == Refusal.PREPAID_EXHAUSTED)) {
			Wallet.Balance balance = unserved.balance();
			line.with("needed_tokens", unserved.tokens())
				.with("held_tokens", balance.heldTokens())
				.with("spendable_tokens", balance.spendableTokens())
				.with("demand_per_s", balance.demandPerS());
		}
		line.emit();
		String retryAfter = "";
		if (refusal.isTemporary()) {
			Service target = this.service;
			long knownDelayMs = this.partRetryAfterMs;
			if (refusal == Refusal.SERVERS_WARMING_UP) {
				knownDelayMs = this.warmUpRetryAfterMs;
			}
			else if (refusal == Refusal.NO_SERVER && target != null) {
				knownDelayMs = this.relay.states().remainingPauseMs(target.name(), this.relay.nowMs());
			}
			long remainingMs = callerTimeoutMs(Integer.MAX_VALUE) - (this.relay.nowMs() - this.startedAtMs);
			long retryAfterMs = RetryAfterPolicy.retryAfterMs(refusal, knownDelayMs, remainingMs,
					ThreadLocalRandom.current().nextDouble());
			retryAfter = String.format(Locale.ROOT, "%.3f", retryAfterMs / MS_PER_SECOND);
		}
		this.caller.sendFullResponse(refusal.status(), retryAfter, Relay.PROBLEM_TYPE,
				Relay.problemDetails(refusal, this.requestId));
	}

	private void close() {
		this.ended = true;
		this.attempt = null;
		this.response.dropPartialEvent();
		this.relay.removeRequest(this);
		if (this.bodyMemoryReserved) {
			this.relay.releaseBodyMemory(this.bodyBytes);
		}
		TokenReservation currentReservation = this.reservation;
		Service target = this.service;
		if (currentReservation != null && target != null) {
			this.billedTokens = currentReservation.settle(this.mayHaveRun,
					(long) this.response.eventCount() * target.tokensPerEvent());
		}
		this.request.release();
	}

	private long callerTimeoutMs(long defaultMs) {
		String header = this.request.headers().get(this.relay.headerNames().deadlineMs());
		if (header == null || header.isEmpty() || header.length() > MAX_DEADLINE_DIGITS
				|| !header.chars().allMatch((digit) -> digit >= '0' && digit <= '9')) {
			return defaultMs;
		}
		return Long.parseLong(header);
	}

	private DecisionLog.Line logLine(String event, String reason) {
		DecisionLog.Line line = this.relay.log()
			.event(event)
			.with("request", this.requestId)
			.with("reason", reason)
			.with("elapsed_ms", this.relay.nowMs() - this.startedAtMs)
			.with("left_ms", this.deadlineAtMs - this.relay.nowMs())
			.with("sends", this.sendCount)
			.with("billed_tokens", this.billedTokens);
		Route matched = this.route;
		if (matched != null) {
			line.with("route", matched.name());
		}
		if (!this.refusedPart.isEmpty()) {
			line.with("part", this.refusedPart);
		}
		Workspace payer = this.workspace;
		if (payer != null) {
			line.with("workspace", payer.name());
		}
		RoutingTable table = this.relay.table();
		return line.with("config_version", (table != null) ? table.version() : -1);
	}

}
