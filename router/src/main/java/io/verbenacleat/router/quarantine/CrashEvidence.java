package io.verbenacleat.router.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The crash reports that a router has, and the prompt parts that follow from them as the
 * cause. Routers with the same reports come to the same conclusion. Confined to the
 * control thread.
 * <p>
 * A crash names all parts that were on the server. The cause is found by elimination: a
 * whole response that was begun after a crash clears its parts, a crash counts only
 * against the part that explains most crashes, and parts on which there were responses
 * before need more crashes.
 */
final class CrashEvidence {

	/**
	 * Crashes after which a part without whole responses is refused, if it explains all
	 * crashes.
	 */
	static final int CRASHES_TO_REFUSE = 2;

	/**
	 * The same if some crashes have other causes, which may hit a rare part twice by
	 * chance.
	 */
	static final int CRASHES_TO_REFUSE_BESIDE_SOME = 3;

	/** The same if most crashes have other causes. */
	static final int CRASHES_TO_REFUSE_BESIDE_MOST = 4;

	/** Crashes of this time are compared with those under one part, up to its last. */
	static final Duration RECENT_CRASHES = Duration.ofSeconds(30);

	/**
	 * More parts with the same crashes are not refused together. Some of these are sound,
	 * and soon tried.
	 */
	static final int MAX_REFUSED_TOGETHER = 3;

	/** A crash that is this much later than the one before it is that of a trial. */
	static final Duration TRIAL_GAP = Duration.ofMinutes(1);

	/** The same for parts that are refused together. */
	static final Duration AMBIGUOUS_TRIAL_GAP = Duration.ofSeconds(1);

	/**
	 * Crashes after which a part is refused that had whole responses before, or cannot be
	 * told from another part.
	 */
	static final int CRASHES_TO_REFUSE_ANSWERED = 4;

	/** Time in which other routers tell that they have responses on a part. */
	static final Duration OBJECTION_TIME = Duration.ofMillis(300);

	/** Time in which responses that were begun after a crash are complete. */
	static final Duration RESPONSE_TIME = Duration.ofMillis(1_500);

	/** Cleared reports are kept until all routers have read them. */
	static final Duration CLEARED_RETENTION = Duration.ofSeconds(60);

	static final Duration RETENTION = Duration.ofHours(24);

	/** Bounds the memory; a report takes about 200 bytes. */
	static final int MAX_PARTS = 1_024;

	static final int MAX_REPORTS_PER_PART = 16;

	private final Map<String, Map<String, Report>> reports = new LinkedHashMap<>();

	/**
	 * Adds a report, or what it adds to the known one on the same crash.
	 * @param report the report
	 * @param nowNanos the steady time in nanoseconds
	 * @return {@code true} if it was new
	 */
	boolean merge(CrashReport report, long nowNanos) {
		Map<String, Report> ofPart = this.reports.get(report.part());
		Report known = (ofPart != null) ? ofPart.get(report.server()) : null;
		if (known != null) {
			boolean changed = (report.answered() && !known.answered) || (report.cleared() && !known.cleared);
			known.answered |= report.answered();
			if (report.cleared() && !known.cleared) {
				known.cleared = true;
				known.clearedNanos = nowNanos;
			}
			return changed;
		}
		long crashedNanos = nowNanos - Duration.ofMillis(report.ageMs()).toNanos();
		if (nowNanos - crashedNanos >= (report.cleared() ? CLEARED_RETENTION : RETENTION).toNanos()) {
			return false;
		}
		if (ofPart == null) {
			ofPart = new LinkedHashMap<>();
			this.reports.put(report.part(), ofPart);
		}
		if (ofPart.size() >= MAX_REPORTS_PER_PART) {
			// More crashes than these change nothing.
			ofPart.values().removeIf((other) -> other.cleared);
			if (ofPart.size() >= MAX_REPORTS_PER_PART) {
				return false;
			}
		}
		ofPart.put(report.server(),
				new Report(report.server(), crashedNanos, nowNanos, report.answered(), report.cleared()));
		if (this.reports.size() > MAX_PARTS) {
			evict(report.part());
		}
		return true;
	}

	/**
	 * Returns the uncleared reports on a part.
	 * @param part the id of the part
	 * @param learnedBeforeNanos only those that this router had before this time
	 * @param nowNanos the steady time in nanoseconds
	 * @return the reports
	 */
	List<CrashReport> uncleared(String part, long learnedBeforeNanos, long nowNanos) {
		List<CrashReport> found = new ArrayList<>();
		this.reports.getOrDefault(part, Map.of()).forEach((server, report) -> {
			if (!report.cleared && report.learnedNanos <= learnedBeforeNanos) {
				found.add(report.toCrashReport(part, nowNanos));
			}
		});
		return found;
	}

	/**
	 * Returns the reports on a part.
	 * @param part the id of the part
	 * @param nowNanos the steady time in nanoseconds
	 * @return the reports, empty for an unknown part
	 */
	List<CrashReport> reports(String part, long nowNanos) {
		List<CrashReport> found = new ArrayList<>();
		this.reports.getOrDefault(part, Map.of())
			.forEach((server, report) -> found.add(report.toCrashReport(part, nowNanos)));
		return found;
	}

	/**
	 * Returns the parts with reports.
	 * @return the ids, in the order in which they were reported first
	 */
	Set<String> parts() {
		return new LinkedHashSet<>(this.reports.keySet());
	}

	/**
	 * Removes reports at the end of their retention.
	 * @param nowNanos the steady time in nanoseconds
	 */
	void expire(long nowNanos) {
		this.reports.values().removeIf((ofPart) -> {
			ofPart.values()
				.removeIf((report) -> report.cleared ? nowNanos - report.clearedNanos >= CLEARED_RETENTION.toNanos()
						: nowNanos - report.crashedNanos >= RETENTION.toNanos());
			return ofPart.isEmpty();
		});
	}

	/**
	 * Determines the parts that are refused.
	 * @param nowNanos the steady time in nanoseconds
	 * @return the verdict
	 */
	CrashVerdict verdict(long nowNanos) {
		Map<String, Set<String>> fresh = new TreeMap<>();
		Map<String, Set<String>> answered = new TreeMap<>();
		Map<String, Set<String>> freshRequests = new TreeMap<>();
		Map<String, Set<String>> answeredRequests = new TreeMap<>();
		Set<String> accused = new HashSet<>();
		this.reports.forEach((part, ofPart) -> {
			Set<String> servers = new HashSet<>();
			boolean hadAnswers = false;
			for (Map.Entry<String, Report> entry : ofPart.entrySet()) {
				hadAnswers |= entry.getValue().answered;
				if (!entry.getValue().cleared) {
					accused.add(part);
					if (nowNanos - entry.getValue().crashedNanos >= OBJECTION_TIME.toNanos()) {
						servers.add(entry.getKey());
					}
				}
			}
			boolean request = RequestName.isName(part);
			Map<String, Set<String>> target = hadAnswers ? (request ? answeredRequests : answered)
					: (request ? freshRequests : fresh);
			target.put(part, servers);
		});
		Map<String, PartStatus> refused = new HashMap<>();
		Set<String> attributed = new HashSet<>();
		refuse(fresh, false, attributed, refused, nowNanos);
		refuse(answered, true, attributed, refused, nowNanos);
		// A shared part that crashes servers explains the crashes of all requests with
		// it.
		Set<String> explained = new HashSet<>();
		refused.values().forEach((status) -> explained.addAll(status.servers()));
		Set<String> attributedRequests = new HashSet<>(explained);
		refuse(freshRequests, false, attributedRequests, refused, nowNanos);
		refuse(answeredRequests, true, attributedRequests, refused, nowNanos);
		refused.values().forEach((status) -> explained.addAll(status.servers()));
		fresh.putAll(freshRequests);
		Set<String> suspects = new HashSet<>();
		fresh.keySet().forEach((part) -> {
			if (!refused.containsKey(part) && accused.contains(part)
					&& !explained.containsAll(unclearedServers(part))) {
				suspects.add(part);
			}
		});
		return new CrashVerdict(refused, suspects, accused);
	}

	// Attributes crashes to the part with the most of them, again and again, and refuses
	// the part if they suffice. Parts with the same crashes cannot be told apart.
	private void refuse(Map<String, Set<String>> accused, boolean hadAnswers, Set<String> attributed,
			Map<String, PartStatus> refused, long nowNanos) {
		Map<String, Set<String>> open = new TreeMap<>();
		accused.forEach((part, servers) -> {
			if (servers.size() >= CRASHES_TO_REFUSE) {
				open.put(part, new HashSet<>(servers));
			}
		});
		open.values().forEach((servers) -> servers.removeIf(attributed::contains));
		while (true) {
			open.values().removeIf((servers) -> servers.size() < CRASHES_TO_REFUSE);
			Set<String> most = Set
				.copyOf(open.values().stream().max(Comparator.comparingInt(Set::size)).orElse(Set.of()));
			if (most.isEmpty()) {
				return;
			}
			List<String> group = open.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().equals(most))
				.map(Map.Entry::getKey)
				.toList();
			open.keySet().removeAll(group);
			open.values().forEach((servers) -> servers.removeIf(most::contains));
			attributed.addAll(most);
			boolean certain = !hadAnswers && group.size() == 1;
			int needed = certain ? neededCrashes(group.get(0), most) : CRASHES_TO_REFUSE_ANSWERED;
			for (String part : group) {
				if (group.size() <= MAX_REFUSED_TOGETHER && suffices(part, most, needed, certain, nowNanos)) {
					refused.put(part, status(part, group.size() > 1, needed));
				}
			}
		}
	}

	// Later crashes of other causes must not lift a refusal.
	private int neededCrashes(String part, Set<String> servers) {
		List<Report> crashes = crashes(part, servers);
		long lastNanos = crashes.get(crashes.size() - 1).crashedNanos;
		long total = this.reports.values()
			.stream()
			.flatMap((ofPart) -> ofPart.values().stream())
			.filter((report) -> report.crashedNanos <= lastNanos
					&& lastNanos - report.crashedNanos <= RECENT_CRASHES.toNanos())
			.map((report) -> report.server)
			.distinct()
			.count();
		if (crashes.size() == total) {
			return CRASHES_TO_REFUSE;
		}
		return (2L * crashes.size() >= total) ? CRASHES_TO_REFUSE_BESIDE_SOME : CRASHES_TO_REFUSE_BESIDE_MOST;
	}

	private boolean suffices(String part, Set<String> servers, int needed, boolean certain, long nowNanos) {
		List<Report> crashes = crashes(part, servers);
		return crashes.size() >= needed && (certain || hadTimeForResponses(crashes, needed, nowNanos));
	}

	// Reports from before a restart may be outdated, so responses may clear them first,
	// unless another server crashes.
	private static boolean hadTimeForResponses(List<Report> crashes, int needed, long nowNanos) {
		long learnedNanos = crashes.stream().mapToLong((report) -> report.learnedNanos).min().orElse(nowNanos);
		if (nowNanos - learnedNanos >= RESPONSE_TIME.toNanos()) {
			return true;
		}
		long before = crashes.stream()
			.filter((report) -> learnedNanos - report.crashedNanos >= RESPONSE_TIME.toNanos())
			.count();
		return before >= needed && crashes.get(crashes.size() - 1).crashedNanos > learnedNanos;
	}

	private PartStatus status(String part, boolean ambiguous, int needed) {
		List<Report> crashes = crashes(part, unclearedServers(part));
		Duration trialGap = ambiguous ? AMBIGUOUS_TRIAL_GAP : TRIAL_GAP;
		int trials = 0;
		for (int i = needed; i < crashes.size(); i++) {
			long gapNanos = crashes.get(i).crashedNanos - crashes.get(i - 1).crashedNanos;
			trials += (gapNanos >= trialGap.toNanos()) ? 1 : 0;
		}
		return new PartStatus(part, crashes.stream().map((report) -> report.server).toList(),
				crashes.get(0).crashedNanos, crashes.get(crashes.size() - 1).crashedNanos, trials, ambiguous);
	}

	private Set<String> unclearedServers(String part) {
		Set<String> servers = new HashSet<>();
		this.reports.getOrDefault(part, Map.of()).forEach((server, report) -> {
			if (!report.cleared) {
				servers.add(server);
			}
		});
		return servers;
	}

	private List<Report> crashes(String part, Set<String> servers) {
		return this.reports.getOrDefault(part, Map.of())
			.values()
			.stream()
			.filter((report) -> servers.contains(report.server))
			.sorted(Comparator.comparingLong((Report report) -> report.crashedNanos))
			.toList();
	}

	private void evict(String newPart) {
		this.reports.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(newPart))
			.min(Comparator.comparingLong((Map.Entry<String, Map<String, Report>> entry) -> entry.getValue()
				.values()
				.stream()
				.filter((report) -> !report.cleared)
				.count()))
			.ifPresent((entry) -> this.reports.remove(entry.getKey()));
	}

	private static final class Report {

		private final String server;

		private final long crashedNanos;

		private final long learnedNanos;

		private boolean answered;

		private boolean cleared;

		private long clearedNanos;

		private Report(String server, long crashedNanos, long learnedNanos, boolean answered, boolean cleared) {
			this.server = server;
			this.crashedNanos = crashedNanos;
			this.learnedNanos = learnedNanos;
			this.answered = answered;
			this.cleared = cleared;
			this.clearedNanos = learnedNanos;
		}

		private CrashReport toCrashReport(String part, long nowNanos) {
			return new CrashReport(part, this.server, Duration.ofNanos(nowNanos - this.crashedNanos).toMillis(),
					this.answered, this.cleared);
		}

	}

}
