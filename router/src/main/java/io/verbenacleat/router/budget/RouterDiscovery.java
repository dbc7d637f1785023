package io.verbenacleat.router.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.PlatformException;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.router.log.DecisionLog;

/**
 * Lists the routers by the rows that they write in the store. Used on the control thread.
 */
public final class RouterDiscovery implements AutoCloseable {

	/** Shorter than the window of the retry budget; one call of the store. */
	private static final Duration INTERVAL = Duration.ofSeconds(8);

	/** Routers write their rows with their first requests. */
	private static final Duration FIRST_AFTER = Duration.ofSeconds(2);

	private static final int MAX_ROUTERS = 1_000;

	private final TableStore store;

	private final ControlThread control;

	private final DecisionLog log;

	private final Consumer<List<String>> listener;

	private final Cancellable first;

	private final Cancellable timer;

	/**
	 * Creates a census and starts its timer.
	 * @param store the table service
	 * @param control the control thread
	 * @param log gets a line when the routers cannot be counted
	 * @param listener takes one peer address for each router, lost ones included; empty
	 * for those that do not listen for others; called on the control thread
	 */
	public RouterDiscovery(TableStore store, ControlThread control, DecisionLog log, Consumer<List<String>> listener) {
		this.store = store;
		this.control = control;
		this.log = log;
		this.listener = listener;
		this.first = control.schedule(FIRST_AFTER, this::count);
		this.timer = control.scheduleWithFixedDelay(INTERVAL, this::count);
	}

	@Override
	public void close() {
		this.first.cancel();
		this.timer.cancel();
	}

	private void count() {
		this.store.scan(PrepaidLedger.ROUTER_PREFIX, "", MAX_ROUTERS).whenCompleteAsync((rows, failure) -> {
			if (failure != null) {
				this.log.event("routers.uncounted").with("reason", PlatformException.reason(failure)).emit();
				return;
			}
			List<String> addresses = new ArrayList<>();
			for (Row row : rows) {
				addresses.add(peerAddress(row));
			}
			this.listener.accept(addresses);
		}, this.control);
	}

	private String peerAddress(Row row) {
		try {
			String address = Json.read(row.json(), RouterRow.class).peerAddress();
			return (address != null) ? address : "";
		}
		catch (JsonFormatException ex) {
			this.log.event("router.unreadable")
				.with("row", row.key())
				.with("reason", String.valueOf(ex.getMessage()))
				.emit();
			return "";
		}
	}

}
