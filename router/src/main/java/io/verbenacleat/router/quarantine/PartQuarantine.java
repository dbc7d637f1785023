package io.verbenacleat.router.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.hash.Hashing;
import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.router.ControlTicker;
import io.verbenacleat.router.balance.FleetPosition;
import io.verbenacleat.router.budget.StoreClock;
import io.verbenacleat.router.log.DecisionLog;
import io.verbenacleat.router.server.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests are refused because a part of their prompt crashes backend
 * servers. All routers share their evidence. Safe for use by several threads.
 * <p>
 * Use: {@link #onCrash} and {@link #onAnswered} report what happened to requests, and
 * {@link #decide} is asked before each send.
 */
public final class PartQuarantine implements AutoCloseable {

	/** Parts with a whole response are remembered for this time. */
	static final Duration ANSWER_MEMORY = Duration.ofMinutes(10);

	/** A part that is still refused is tried with one request after this time. */
	static final Duration FIRST_TRIAL_DELAY = Duration.ofMinutes(2);

	/** The same for each of several parts that are refused for the same crashes. */
	static final Duration AMBIGUOUS_TRIAL_DELAY = Duration.ofSeconds(1);

	/**
	 * Growth of the number of routers that may try a part. The first ones may receive no
	 * request with it.
	 */
	private static final int TRIAL_ROUTERS_GROWTH = 4;

	/** Bounds the delay of trials at about 17 hours. */
	private static final int MAX_DELAY_DOUBLINGS = 9;

	/** Bounds the memory; an entry takes about 150 bytes. */
	private static final int MAX_ANSWERED_PARTS = 8_192;

	/** Spreads what many routers have to tell at the same time. */
	private static final long MAX_SPREAD_MS = 150;

	/** Reports that arrive together are evaluated together. */
	private static final Duration MERGE_DELAY = Duration.ofMillis(5);

	private static final Duration REFRESH_INTERVAL = Duration.ofMillis(100);

	private static final Duration EXPIRY_INTERVAL = Duration.ofMinutes(1);

	static final int MAX_REPORTS_PER_MESSAGE = 512;

	private final ControlThread control;

	private final DecisionLog log;

	private final RandomGenerator random;

	private final CrashEvidence evidence = new CrashEvidence();

	private final CrashReportExchange exchange;

	/** When the last whole response on each part was begun, by the steady clock. */
	private final Cache<String, Long> answeredParts;

	/** Kept apart, since there are many more of them. */
	private final Cache<String, Long> answeredRequests;

	/** The windows in which this router has tried a refused part. */
	private final Map<String, Long> trials = new ConcurrentHashMap<>();

	private final Cancellable expiryTimer;

	private @Nullable Cancellable refreshTimer;

	private long refreshAtNanos;

	private long lastNewsNanos;

	private volatile CrashVerdict verdict = CrashVerdict.none();

	private volatile boolean hasReports;

	private volatile FleetPosition position = FleetPosition.unknown();

	/**
	 * Creates an instance without evidence, and starts to share it.
	 * @param store the table service
	 * @param storeClock the clock of the table service
	 * @param peers the other routers
	 * @param control the control thread
	 * @param log receives a line for each crash, refused part and lifted refusal
	 * @param random spreads the messages of many routers, safe for use by several threads
	 */
	public PartQuarantine(TableStore store, StoreClock storeClock, CrashReportPeers peers, ControlThread control,
			DecisionLog log, RandomGenerator random) {
		this.control = control;
		this.log = log;
		this.random = random;
		this.answeredParts = CacheBuilder.newBuilder()
			.maximumSize(MAX_ANSWERED_PARTS)
			.expireAfterWrite(ANSWER_MEMORY)
			.ticker(new ControlTicker(control))
			.build();
		this.answeredRequests = CacheBuilder.newBuilder()
			.maximumSize(MAX_ANSWERED_PARTS)
			.expireAfterWrite(ANSWER_MEMORY)
			.ticker(new ControlTicker(control))
			.build();
		this.exchange = new CrashReportExchange(store, storeClock, peers, control, log, random, this.evidence,
				this::onStored);
		this.expiryTimer = control.scheduleWithFixedDelay(EXPIRY_INTERVAL, this::refresh);
	}

	@Override
	public void close() {
		this.exchange.close();
		this.expiryTimer.cancel();
		Cancellable scheduled = this.refreshTimer;
		if (scheduled != null) {
			scheduled.cancel();
		}
	}

	/**
	 * Returns the steady time by which responses are compared with crashes.
	 * @return the time in nanoseconds
	 */
	public long nanoTime() {
		return this.control.nanoTime();
	}

	/**
	 * Sets the position of this router, by which the routers take turns with trials.
	 * @param newPosition the position
	 */
	public void setPosition(FleetPosition newPosition) {
		this.position = newPosition;
	}

	/**
	 * Returns whether the reports in the store were read.
	 * @return {@code false} shortly after the start, and while the store is away
	 */
	public boolean hasReports() {
		return this.hasReports;
	}

	/**
	 * Returns the reports of this router, for one that does not reach the store. Must be
	 * called on the control thread.
	 * @return at most 512 reports, those on the parts with most crashes
	 */
	public List<CrashReport> reports() {
		long nowNanos = this.control.nanoTime();
		return this.evidence.parts()
			.stream()
			.map((part) -> this.evidence.reports(part, nowNanos))
			.sorted(Comparator.comparingLong(PartQuarantine::unclearedCount).reversed())
			.flatMap(List::stream)
			.limit(MAX_REPORTS_PER_MESSAGE)
			.toList();
	}

	/**
	 * Decides whether a new request may be sent. A refused part is tried at long
	 * intervals with one request of one router, of more routers while there is no result,
	 * and sooner if other parts are refused for the same crashes and the request has none
	 * of them.
	 * @param parts the ids of the shared parts of its prompt
	 * @return the decision
	 */
	public Decision decide(List<String> parts) {
		List<PartStatus> refused = refused(parts);
		if (refused.isEmpty()) {
			return check(parts);
		}
		PartStatus first = refused.get(0);
		Duration delay = trialDelay(refused);
		if (!takeTrial(first, delay)) {
			return refusal(first, delay);
		}
		this.log.event("part.tried").with("part", first.part()).emit();
		return new Decision("", first.part(), true, 0);
	}

	/**
	 * Returns whether a request may be sent, without a trial of a refused part.
	 * @param parts the ids of the shared parts of its prompt
	 * @return the decision
	 */
	public Decision check(List<String> parts) {
		List<PartStatus> refused = refused(parts);
		if (!refused.isEmpty()) {
			return refusal(refused.get(0), trialDelay(refused));
		}
		Set<String> suspects = this.verdict.suspects();
		String suspect = "";
		for (String part : parts) {
			if (suspects.contains(part)) {
				suspect = part;
			}
		}
		return new Decision("", suspect, false, 0);
	}

	private List<PartStatus> refused(List<String> parts) {
		Map<String, PartStatus> refused = this.verdict.refused();
		return refused.isEmpty() ? List.of() : parts.stream().map(refused::get).filter(Objects::nonNull).toList();
	}

	private Decision refusal(PartStatus status, Duration trialDelay) {
		long remainingNanos = trialDelay.toNanos() - ageNanos(status) % trialDelay.toNanos();
		return new Decision(status.part(), "", false, Duration.ofNanos(remainingNanos).toMillis());
	}

	/**
	 * Returns whether there were whole responses on all shared parts of a prompt, and the
	 * request itself is not suspected.
	 * @param parts the ids of the parts
	 * @return {@code false} if one of them may be the cause of a crash that is not known
	 * yet
	 */
	public boolean isProven(Collection<String> parts) {
		CrashVerdict current = this.verdict;
		return parts.stream()
			.allMatch((part) -> (isAnswered(part) || RequestName.isName(part)) && !current.suspects().contains(part)
					&& !current.refused().containsKey(part));
	}

	private boolean isAnswered(String part) {
		return (RequestName.isName(part) ? this.answeredRequests : this.answeredParts).getIfPresent(part) != null;
	}

	/**
	 * Records a whole response.
	 * @param parts the ids of the shared parts of the prompt
	 * @param begunNanos when the server began to write it, by {@link #nanoTime}
	 */
	public void onAnswered(Collection<String> parts, long begunNanos) {
		CrashVerdict current = this.verdict;
		for (String part : parts) {
			(RequestName.isName(part) ? this.answeredRequests : this.answeredParts).put(part, begunNanos);
			if (current.accused().contains(part)) {
				// Many routers receive a response on the same part.
				this.control.schedule(Duration.ofMillis(spreadMs()), () -> clear(part, begunNanos, "whole response"));
			}
		}
	}

	/**
	 * Records that a server has crashed.
	 * @param server the server
	 * @param suspects the parts of the requests that may have caused it
	 */
	public void onCrash(BackendServer server, Collection<String> suspects) {
		String incarnation = server.id() + "@" + server.startedAtMs();
		List<CrashReport> reports = suspects.stream()
			.map((part) -> new CrashReport(part, incarnation, 0, isAnswered(part), false))
			.toList();
		this.control.execute(() -> merge(reports, Source.OWN));
	}

	/**
	 * Handles reports of another router. Must be called on the control thread.
	 * @param reports the reports; malformed ones are ignored
	 */
	public void receive(List<CrashReport> reports) {
		receive(reports, Source.PEER);
	}

	private void onStored(List<CrashReport> reports) {
		receive(reports, Source.STORE);
		if (!this.hasReports) {
			refresh();
			this.hasReports = true;
		}
	}

	private void receive(List<CrashReport> reports, Source source) {
		List<CrashReport> valid = reports.stream()
			.filter(Objects::nonNull)
			.limit(MAX_REPORTS_PER_MESSAGE)
			.filter(CrashReport::isValid)
			.toList();
		merge(valid, source);
		List<CrashReport> objections = valid.stream()
			.filter((report) -> !report.answered() && !report.cleared() && isAnswered(report.part()))
			.map((report) -> new CrashReport(report.part(), report.server(), report.ageMs(), true, false))
			.toList();
		if (!objections.isEmpty()) {
			this.control.schedule(Duration.ofMillis(spreadMs()), () -> merge(objections, Source.OWN));
		}
	}

	/**
	 * Lifts the refusal of a part on all routers, and forgets the crashes under it.
	 * @param part the id of the part
	 */
	public void lift(String part) {
		this.control.execute(() -> clear(part, this.control.nanoTime(), "operator"));
	}

	/**
	 * Returns the refused parts with their evidence.
	 * @return one entry for each part
	 */
	public List<RefusedPart> refusedParts() {
		long nowNanos = this.control.nanoTime();
		List<RefusedPart> found = new ArrayList<>();
		this.verdict.refused()
			.values()
			.forEach((status) -> found.add(new RefusedPart(status.part(), status.servers(),
					Duration.ofNanos(nowNanos - status.firstNanos()).toMillis(),
					Duration.ofNanos(nowNanos - status.lastNanos()).toMillis())));
		return found;
	}

	private void clear(String part, long begunNanos, String reason) {
		long nowNanos = this.control.nanoTime();
		List<CrashReport> cleared = new ArrayList<>();
		for (CrashReport report : this.evidence.uncleared(part, begunNanos, nowNanos)) {
			cleared.add(new CrashReport(part, report.server(), report.ageMs(), report.answered(), true));
		}
		if (!cleared.isEmpty()) {
			this.log.event("part.cleared")
				.with("part", part)
				.with("crashes", cleared.size())
				.with("reason", reason)
				.emit();
			merge(cleared, Source.OWN);
		}
	}

	private void merge(List<CrashReport> reports, Source source) {
		long nowNanos = this.control.nanoTime();
		List<CrashReport> news = reports.stream().filter((report) -> this.evidence.merge(report, nowNanos)).toList();
		if (news.isEmpty()) {
			return;
		}
		if (source != Source.STORE) {
			this.exchange.share(news, source == Source.OWN);
		}
		this.lastNewsNanos = nowNanos;
		scheduleRefresh(MERGE_DELAY);
	}

	private void scheduleRefresh(Duration delay) {
		long atNanos = this.control.nanoTime() + delay.toNanos();
		Cancellable scheduled = this.refreshTimer;
		if (scheduled != null) {
			if (this.refreshAtNanos <= atNanos) {
				return;
			}
			scheduled.cancel();
		}
		this.refreshAtNanos = atNanos;
		this.refreshTimer = this.control.schedule(delay, this::refresh);
	}

	private void refresh() {
		this.refreshTimer = null;
		long nowNanos = this.control.nanoTime();
		// The verdict also changes when the time for objections and responses has passed.
		if (nowNanos - this.lastNewsNanos <= CrashEvidence.RESPONSE_TIME.toNanos()) {
			scheduleRefresh(REFRESH_INTERVAL);
		}
		this.evidence.expire(nowNanos);
		CrashVerdict previous = this.verdict;
		CrashVerdict next = this.evidence.verdict(nowNanos);
		this.verdict = next;
		this.trials.keySet().retainAll(next.refused().keySet());
		Map<String, PartStatus> added = new HashMap<>(next.refused());
		added.keySet().removeAll(previous.refused().keySet());
		added.values()
			.forEach((status) -> this.log.event("part.refused")
				.with("part", status.part())
				.with("crashes", status.servers().size())
				.with("servers", String.join(",", status.servers()))
				.with("first_crash_age_ms", Duration.ofNanos(nowNanos - status.firstNanos()).toMillis())
				.with("last_crash_age_ms", Duration.ofNanos(nowNanos - status.lastNanos()).toMillis())
				.emit());
		previous.refused().forEach((part, status) -> {
			if (!next.refused().containsKey(part)) {
				this.log.event("part.allowed").with("part", part).emit();
			}
		});
	}

	private boolean takeTrial(PartStatus status, Duration delay) {
		FleetPosition current = this.position;
		long window = ageNanos(status) / delay.toNanos();
		if (window == 0 || !current.isKnown()) {
			return false;
		}
		int turn = Hashing.murmur3_128().newHasher().putUnencodedChars(status.part()).putLong(window).hash().asInt();
		double routers = Math.pow(TRIAL_ROUTERS_GROWTH, window - 1.0);
		if (Math.floorMod(current.rank() - turn, current.routerCount()) >= routers) {
			return false;
		}
		Long previous = this.trials.put(status.part(), window);
		return previous == null || previous != window;
	}

	private long ageNanos(PartStatus status) {
		return Math.max(0, this.control.nanoTime() - status.lastNanos());
	}

	// A request with several refused parts doesn't tell which of them crashes servers.
	private static Duration trialDelay(List<PartStatus> refused) {
		PartStatus status = refused.get(0);
		Duration firstDelay = (refused.size() == 1 && status.ambiguous()) ? AMBIGUOUS_TRIAL_DELAY : FIRST_TRIAL_DELAY;
		return firstDelay.multipliedBy(1L << Math.min(MAX_DELAY_DOUBLINGS, status.failedTrials()));
	}

	private static long unclearedCount(List<CrashReport> reports) {
		return reports.stream().filter((report) -> !report.cleared()).count();
	}

	private long spreadMs() {
		return this.random.nextLong(MAX_SPREAD_MS);
	}

	/**
	 * Where reports come from.
	 */
	private enum Source {

		OWN, PEER, STORE

	}

	/**
	 * Whether and how a request may be sent. Immutable.
	 *
	 * @param refusedPart the part for which the request is refused, empty if it may be
	 * sent
	 * @param suspectPart a part that may have crashed a server, empty if there is none
	 * @param trial whether the request tries a refused part
	 * @param retryAfterMs the time after which a refused part may be tried, in
	 * milliseconds
	 */
	public record Decision(String refusedPart, String suspectPart, boolean trial, long retryAfterMs) {

		/**
		 * Returns whether the request is refused.
		 * @return {@code true} if it must not be sent
		 */
		public boolean isRefused() {
			return !this.refusedPart.isEmpty();
		}

	}

	/**
	 * A refused part, for operators.
	 *
	 * @param part the id of the part
	 * @param servers the crashed servers, oldest crash first
	 * @param firstCrashAgeMs the time since the first crash in milliseconds
	 * @param lastCrashAgeMs the time since the last crash in milliseconds
	 */
	public record RefusedPart(String part, List<String> servers, long firstCrashAgeMs, long lastCrashAgeMs) {
	}

}
