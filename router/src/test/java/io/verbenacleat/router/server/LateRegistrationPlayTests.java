package io.verbenacleat.router.server;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.verbenacleat.core.control.ManualControlThread;
import io.verbenacleat.router.log.DecisionLog;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Plays servers that register, drain, leave, fall silent and start again, and a registry
 * that performs each write late with some chance, in virtual time. Guards against routers
 * that use a server after its end was acknowledged, and against servers that stay out of
 * use although they run. The system property {@code registration.seeds} sets the number
 * of plays of each kind.
 */
public class LateRegistrationPlayTests {

	private static final Duration HEARTBEAT = Duration.ofMillis(1_200);

	private static final Duration STEP = Duration.ofMillis(50);

	/** The time from the acknowledged end of a server to its last request. */
	private static final Duration DRAIN_TIME = Duration.ofSeconds(2);

	private static final Duration PLAY_TIME = Duration.ofSeconds(90);

	/** Longer than any late write and any wait for its confirmation. */
	private static final Duration QUIET_TIME = Duration.ofSeconds(20);

	/** The events of a server that are shown with a violation. */
	private static final int MAX_EVENTS = 14;

	private static final int SERVERS = 5;

	private static final int ROUTERS = 3;

	private static final int SEEDS = Integer.getInteger("registration.seeds", 40);

	@DataProvider
	public Object[][] kindsOfPlays() {
		return new Object[][] { { true, 0.05 }, { true, 0.3 }, { false, 0.05 }, { false, 0.3 } };
	}

	@Test(dataProvider = "kindsOfPlays")
	public void noServerIsUsedAfterItsEndAndAllOthersAre(boolean deliversRenewals, double lateShare) {
		List<String> violations = new ArrayList<>();
		for (int seed = 1; seed <= SEEDS; seed++) {
			violations.addAll(new Play(seed, deliversRenewals, lateShare).run());
		}
		assertEquals(violations.size(), 0, String.join("\n", violations));
	}

	/** One play. */
	private static final class Play {

		private final ManualControlThread control = new ManualControlThread(Instant.EPOCH);

		private final int seed;

		private final Random random;

		private final boolean deliversRenewals;

		private final double lateShare;

		private final Map<String, BackendServer> rows = new TreeMap<>();

		private final Map<String, Long> writtenAtNanos = new HashMap<>();

		private final List<Router> routers = new ArrayList<>();

		private final List<Server> servers = new ArrayList<>();

		/** When the registry acknowledged that an incarnation drains or has left. */
		private final Map<BackendServer, Long> endedAtNanos = new HashMap<>();

		private final Map<String, List<String>> events = new HashMap<>();

		private final List<String> violations = new ArrayList<>();

		private boolean quiet;

		private Play(int seed, boolean deliversRenewals, double lateShare) {
			this.seed = seed;
			this.random = new Random(seed);
			this.deliversRenewals = deliversRenewals;
			this.lateShare = lateShare;
			for (int i = 0; i < SERVERS; i++) {
				this.servers.add(new Server("i-" + i));
			}
			for (int i = 0; i < ROUTERS; i++) {
				this.routers.add(new Router());
			}
		}

		private List<String> run() {
			advance(PLAY_TIME);
			this.quiet = true;
			advance(QUIET_TIME);
			if (!this.violations.isEmpty()) {
				return this.violations;
			}
			Set<BackendServer> running = this.servers.stream()
				.filter((server) -> server.state == State.SERVING)
				.map((server) -> server.registration(false).incarnationKey())
				.collect(Collectors.toSet());
			for (Router router : this.routers) {
				if (!router.used().equals(running)) {
					Set<String> wrong = new TreeSet<>();
					Stream.concat(router.used().stream(), running.stream())
						.filter((server) -> !router.used().contains(server) || !running.contains(server))
						.forEach((server) -> wrong.add(server.id() + "/" + server.startedAtMs()));
					this.violations.add("seed " + this.seed + ": " + wrong + " in use and not running, or running and"
							+ " not in use; " + history(wrong.iterator().next().split("/")[0]));
				}
			}
			return this.violations;
		}

		private void advance(Duration time) {
			long endNanos = this.control.nanoTime() + time.toNanos();
			while (this.control.nanoTime() < endNanos && this.violations.isEmpty()) {
				this.control.advance(STEP);
				removeSilent();
				this.servers.forEach(Server::step);
				check();
			}
		}

		private void check() {
			long nowNanos = this.control.nanoTime();
			for (Router router : this.routers) {
				for (BackendServer used : router.used()) {
					Long endNanos = this.endedAtNanos.get(used);
					if (endNanos != null && nowNanos - endNanos > DRAIN_TIME.toNanos()) {
						this.violations.add("seed " + this.seed + ": " + used.id() + " is used "
								+ Duration.ofNanos(nowNanos - endNanos).toMillis() + " ms after its end; "
								+ history(used.id()));
						return;
					}
				}
			}
		}

		private void record(String id, String event) {
			this.events.computeIfAbsent(id, (any) -> new ArrayList<>())
				.add(Duration.ofNanos(this.control.nanoTime()).toMillis() + " " + event);
		}

		private String history(String id) {
			List<String> all = this.events.getOrDefault(id, List.of());
			return String.join(", ", all.subList(Math.max(0, all.size() - MAX_EVENTS), all.size()));
		}

		private static String describe(BackendServer registration) {
			return registration.startedAtMs() + "/" + registration.sequence() + (registration.draining() ? "d" : "");
		}

		private void send(BackendServer registration) {
			boolean late = !this.quiet && this.random.nextDouble() < this.lateShare;
			if (late) {
				record(registration.id(), "late " + describe(registration));
			}
			Duration delay = late ? Duration.ofMillis(1_000 + this.random.nextInt(5_000)) : Duration.ofMillis(4);
			this.control.schedule(delay, () -> perform(registration));
		}

		private void perform(BackendServer registration) {
			BackendServer before = this.rows.put(registration.id(), registration);
			record(registration.id(), "row " + describe(registration));
			this.writtenAtNanos.put(registration.id(), this.control.nanoTime());
			if (registration.draining()) {
				this.endedAtNanos.putIfAbsent(registration.incarnationKey(), this.control.nanoTime());
			}
			if (this.deliversRenewals || before == null
					|| !before.withSequence(null).equals(registration.withSequence(null))) {
				deliver(registration.id(), registration);
			}
		}

		private void deregister(BackendServer registration) {
			record(registration.id(), "left " + describe(registration));
			BackendServer row = this.rows.get(registration.id());
			if (row != null && row.isSameIncarnation(registration)) {
				this.endedAtNanos.putIfAbsent(registration.incarnationKey(), this.control.nanoTime());
				removeRow(registration.id());
			}
		}

		private void removeRow(String id) {
			if (this.rows.remove(id) != null) {
				record(id, "removed");
				deliver(id, null);
			}
		}

		private void removeSilent() {
			long nowNanos = this.control.nanoTime();
			Set.copyOf(this.rows.keySet())
				.stream()
				.filter((id) -> nowNanos - this.writtenAtNanos.getOrDefault(id, 0L) > HEARTBEAT.multipliedBy(3)
					.toNanos())
				.forEach(this::removeRow);
		}

		private void deliver(String id, @Nullable BackendServer registration) {
			this.routers.forEach((router) -> router.deliver(id, registration));
		}

		/** A router, which gets each change after up to 0.3 s, in order. */
		private final class Router {

			private ServerList list = ServerList.empty();

			private final ServerDirectory directory = new ServerDirectory(Play.this.control, new DecisionLog(() -> 0),
					(newList) -> this.list = newList, this::respond, HEARTBEAT);

			private long deliveredAtNanos;

			private void deliver(String id, @Nullable BackendServer registration) {
				long delayNanos = Duration.ofMillis(20 + Play.this.random.nextInt(280)).toNanos();
				this.deliveredAtNanos = Math.max(this.deliveredAtNanos, Play.this.control.nanoTime() + delayNanos);
				Play.this.control.schedule(Duration.ofNanos(this.deliveredAtNanos - Play.this.control.nanoTime()),
						() -> this.directory.update(id, registration, false));
			}

			private void respond() {
				Play.this.control.schedule(Duration.ofMillis(350), this.directory::confirm);
			}

			private Set<BackendServer> used() {
				return this.list.usable("s").stream().map(BackendServer::incarnationKey).collect(Collectors.toSet());
			}

		}

		private enum State {

			SERVING, DRAINING, SILENT, DOWN

		}

		/** A server, which goes through random states. */
		private final class Server {

			private final String id;

			private State state = State.DOWN;

			private long startedAtMs = 1_000;

			private long sequence;

			private long nextBeatNanos;

			private long nextStateNanos;

			private Server(String id) {
				this.id = id;
			}

			private BackendServer registration(boolean draining) {
				return new BackendServer(this.id, this.startedAtMs, "s", "127.0.0.1", 1, "z", 8, "v1", draining)
					.withSequence(this.sequence);
			}

			private void write(boolean draining) {
				this.sequence++;
				send(registration(draining));
			}

			private void step() {
				long nowNanos = Play.this.control.nanoTime();
				if (nowNanos >= this.nextStateNanos && !(Play.this.quiet && this.state == State.SERVING)) {
					change();
					this.nextStateNanos = nowNanos
							+ Duration.ofMillis(1_000 + Play.this.random.nextInt(nextStateMs())).toNanos();
				}
				if (nowNanos >= this.nextBeatNanos && (this.state == State.SERVING || this.state == State.DRAINING)) {
					write(this.state == State.DRAINING);
					this.nextBeatNanos = nowNanos + HEARTBEAT.toNanos();
				}
			}

			private int nextStateMs() {
				return (this.state == State.SERVING) ? 15_000 : 5_000;
			}

			private void change() {
				switch (this.state) {
					case DOWN -> start();
					case SILENT -> setState(State.SERVING);
					case DRAINING -> leave();
					case SERVING -> {
						switch (Play.this.random.nextInt(3)) {
							case 0 -> {
								setState(State.DRAINING);
								write(true);
							}
							case 1 -> leave();
							default -> setState(State.SILENT);
						}
					}
				}
			}

			private void setState(State newState) {
				this.state = newState;
			}

			// A clock may step back between two incarnations.
			private void start() {
				this.state = State.SERVING;
				this.startedAtMs += (Play.this.random.nextInt(4) == 0) ? -7 : 1_000;
				this.sequence = 0;
				this.nextBeatNanos = 0;
			}

			private void leave() {
				Play.this.deregister(registration(false));
				this.state = State.DOWN;
			}

		}

	}

}
