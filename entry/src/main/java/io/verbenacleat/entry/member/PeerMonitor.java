package io.verbenacleat.entry.member;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.entry.EntryStateKeys;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Detects failed entries and has them closed. All entries form a ring, ordered by site;
 * each entry probes its nearest successors and closes those that do not respond for too
 * long. An entry of another site is closed only after the platform has removed its host,
 * since a partition between sites must not close holders that still serve their side.
 * Confined to the control thread.
 */
public final class PeerMonitor {

	private static final Logger logger = LogManager.getLogger(PeerMonitor.class);

	static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

	private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(10);

	/** Added for each step of distance in the ring, so that usually one entry closes. */
	private static final Duration CLOSE_TIMEOUT_PER_RANK = Duration.ofSeconds(5);

	private static final Duration MAX_ROUND_INTERVAL = Duration.ofSeconds(4);

	private static final int PROBED_PEERS = 3;

	private final Member self;

	private final ControlThread control;

	private final Blackboard blackboard;

	private final PeerProbe probe;

	private final HostWatch hostWatch;

	private final Consumer<String> closer;

	private final Counter closed;

	private final Map<String, Long> lastAnswerNanos = new HashMap<>();

	private long lastRoundNanos;

	/**
	 * Creates a monitor and starts to probe.
	 * @param self this entry
	 * @param control the control thread
	 * @param blackboard the blackboard with the membership
	 * @param probe probes the peers
	 * @param hostWatch the watch of the host list
	 * @param closer receives the incarnation of each entry to close
	 * @param registry the registry for the metrics
	 */
	public PeerMonitor(Member self, ControlThread control, Blackboard blackboard, PeerProbe probe, HostWatch hostWatch,
			Consumer<String> closer, PrometheusRegistry registry) {
		this.self = self;
		this.control = control;
		this.blackboard = blackboard;
		this.probe = probe;
		this.hostWatch = hostWatch;
		this.closer = closer;
		this.closed = Counter.builder()
			.name("verbena_member_suspected")
			.help("Entries that did not answer for long enough to be closed")
			.register(registry);
		control.scheduleWithFixedDelay(PROBE_INTERVAL, this::probePeers);
	}

	private void probePeers() {
		List<Member> peers = peers();
		resetAfterPause();
		this.lastAnswerNanos.keySet()
			.removeIf((incarnation) -> peers.stream().noneMatch((peer) -> peer.incarnation().equals(incarnation)));
		for (int rank = 0; rank < peers.size(); rank++) {
			Member peer = peers.get(rank);
			this.lastAnswerNanos.putIfAbsent(peer.incarnation(), nowNanos());
			closeIfUnresponsive(peer, rank);
			probe(peer);
		}
	}

	/**
	 * Restarts all timeouts after a pause of this process, during which it could not
	 * receive responses.
	 */
	private void resetAfterPause() {
		if (nowNanos() - this.lastRoundNanos > MAX_ROUND_INTERVAL.toNanos()) {
			this.lastAnswerNanos.clear();
		}
		this.lastRoundNanos = nowNanos();
	}

	/**
	 * Returns whether this entry is the first of the ring, according to the membership as
	 * last read.
	 * @return {@code true} if it is the first
	 */
	public boolean isFirstInRing() {
		List<Member> ring = ring();
		return !ring.isEmpty() && ring.get(0).incarnation().equals(this.self.incarnation());
	}

	private List<Member> ring() {
		Membership members = this.blackboard.read(EntryStateKeys.MEMBERS);
		if (members == null) {
			return List.of();
		}
		return members.members()
			.stream()
			.filter((member) -> member.role() == Member.Role.ENTRY)
			.sorted(Comparator.comparing(Member::site).thenComparing(Member::incarnation))
			.toList();
	}

	private List<Member> peers() {
		List<Member> ring = ring();
		int ownIndex = ring.stream().map(Member::incarnation).toList().indexOf(this.self.incarnation());
		if (ownIndex < 0) {
			return List.of();
		}
		int count = Math.min(PROBED_PEERS, ring.size() - 1);
		return IntStream.rangeClosed(1, count)
			.mapToObj((distance) -> ring.get((ownIndex + distance) % ring.size()))
			.toList();
	}

	private void closeIfUnresponsive(Member peer, int rank) {
		long silentMs = TimeUnit.NANOSECONDS
			.toMillis(nowNanos() - this.lastAnswerNanos.getOrDefault(peer.incarnation(), nowNanos()));
		Duration closeTimeout = CLOSE_TIMEOUT.plus(CLOSE_TIMEOUT_PER_RANK.multipliedBy(rank));
		boolean closable = peer.site().equals(this.self.site()) || this.hostWatch.isRemoved(peer.host());
		if (silentMs > closeTimeout.toMillis() && closable) {
			logger.warn("Entry {} did not respond for {} ms; closing it", peer.incarnation(), silentMs);
			this.closed.inc();
			this.lastAnswerNanos.put(peer.incarnation(), nowNanos());
			this.closer.accept(peer.incarnation());
		}
	}

	private void probe(Member peer) {
		this.probe.probe(peer).whenCompleteAsync((incarnation, failure) -> {
			if (peer.incarnation().equals(incarnation)) {
				this.lastAnswerNanos.put(peer.incarnation(), nowNanos());
			}
		}, this.control);
	}

	private long nowNanos() {
		return this.control.nanoTime();
	}

}
