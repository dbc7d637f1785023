package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.router.balance.FleetMembers;
import io.verbenacleat.router.balance.FleetPosition;
import io.verbenacleat.router.log.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Polls the store for the rows of routers, and reports their peer addresses and the
 * position of this router among them. Confined to the control thread.
 */
public final class RouterDiscovery implements AutoCloseable {

	/**
	 * Shorter than the window of the retry budget, which depends on the number of
	 * routers. Each poll is one call of the store.
	 */
	static final Duration INTERVAL = Duration.ofSeconds(8);

	/**
	 * Delay of the second poll, by which a new router has usually written its row.
	 */
	private static final Duration INITIAL_DELAY = Duration.ofSeconds(2);

	private static final int MAX_ROUTERS = 1_000;

	private final TableStore store;

	private final StoreClock storeClock;

	private final ControlThread control;

	private final DecisionLog log;

	private final FleetMembership membership;

	private final Listener listener;

	private final Cancellable initialScan;

	private final Cancellable periodicScan;

	private @Nullable Cancellable joinScan;

	/**
	 * Creates a discovery and starts polling.
	 * @param identity the identity of this router
	 * @param store the table service
	 * @param storeClock the clock of the table service
	 * @param control the control thread
	 * @param log receives a line when a poll fails or a row cannot be read
	 * @param listener receives the result of each poll
	 */
	public RouterDiscovery(PrepaidLedger.Identity identity, TableStore store, StoreClock storeClock,
			ControlThread control, DecisionLog log, Listener listener) {
		this.membership = new FleetMembership(PrepaidLedger.ROUTER_PREFIX + identity.address(), identity.incarnation());
		this.store = store;
		this.storeClock = storeClock;
		this.control = control;
		this.log = log;
		this.listener = listener;
		// Before the first write of this process, to find the row of its predecessor.
		control.execute(this::scan);
		this.initialScan = control.schedule(INITIAL_DELAY, this::scan);
		this.periodicScan = control.scheduleWithFixedDelay(INTERVAL, this::scan);
	}

	@Override
	public void close() {
		this.initialScan.cancel();
		this.periodicScan.cancel();
		Cancellable scheduledJoin = this.joinScan;
		if (scheduledJoin != null) {
			scheduledJoin.cancel();
		}
	}

	private void scan() {
		this.store.scan(PrepaidLedger.ROUTER_PREFIX, "", MAX_ROUTERS).whenCompleteAsync((rows, failure) -> {
			if (failure != null) {
				this.log.event("routers.uncounted").with("reason", PlatformException.reason(failure)).emit();
				return;
			}
			List<FleetRouter> routers = new ArrayList<>();
			for (Row row : rows) {
				routers.add(router(row));
			}
			long nowNanos = this.control.nanoTime();
			FleetPosition position = this.membership.onRead(rows, this.storeClock.latestMs(), nowNanos);
			this.listener.onMembers(this.membership.members(position));
			this.listener.onRouters(routers, position);
			if (this.membership.isJoining(nowNanos) && this.joinScan == null) {
				this.joinScan = this.control.schedule(FleetMembership.JOIN_DELAY, this::scan);
			}
		}, this.control);
	}

	private FleetRouter router(Row row) {
		String address = row.key().substring(PrepaidLedger.ROUTER_PREFIX.length());
		try {
			RouterRow written = Json.read(row.json(), RouterRow.class);
			String peerAddress = written.peerAddress();
			return new FleetRouter(address, (peerAddress != null) ? peerAddress : "", written.capacityCores());
		}
		catch (JsonFormatException ex) {
			this.log.event("router.unreadable")
				.with("row", row.key())
				.with("reason", String.valueOf(ex.getMessage()))
				.emit();
			return new FleetRouter(address, "", 0);
		}
	}

	/**
	 * Receives the results of polls on the control thread.
	 */
	public interface Listener {

		/**
		 * Called after each successful poll.
		 * @param routers one router for each row, including lost ones
		 * @param position the position of this router, unknown while it is new
		 */
		void onRouters(List<FleetRouter> routers, FleetPosition position);

		/**
		 * Called after each successful poll, before {@link #onRouters}.
		 * @param members the routers that share the permits of servers, unknown while the
		 * position of this router is unknown
		 */
		default void onMembers(FleetMembers members) {
		}

	}

}
