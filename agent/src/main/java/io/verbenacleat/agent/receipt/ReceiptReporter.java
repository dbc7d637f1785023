package io.verbenacleat.agent.receipt;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.Row;
import io.verbenacleat.core.platform.TableStore;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.SettleResponse;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Reports receipts to their holders and retains each one until it is durable, that is
 * until the holder has written it to its journal or the final row of a closed holder
 * exists. Reports once per second, with backoff while a holder does not respond. Control
 * thread only, except {@link #waiting()}.
 * <p>
 * At most {@value #MAX_WAITING} receipts wait, which take an estimated 8 MB; the order
 * table starts no order whose receipt would exceed this limit.
 */
public final class ReceiptReporter implements AutoCloseable {

	/** The maximum number of waiting receipts, including those of active orders. */
	public static final int MAX_WAITING = 8_192;

	private static final Logger logger = LogManager.getLogger(ReceiptReporter.class);

	private static final Duration INTERVAL = Duration.ofSeconds(1);

	/**
	 * The final row of a lost holder appears about 10 s after the loss at the earliest.
	 */
	private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(15);

	private final ControlThread control;

	private final SettleClient client;

	private final TableStore store;

	private final Map<String, HolderQueue> queues = new HashMap<>();

	private final List<Cancellable> timers = new ArrayList<>();

	private volatile int waiting;

	/**
	 * Creates a reporter that does nothing until {@link #start}.
	 * @param control the control thread
	 * @param client sends the reports to the holders
	 * @param store the table store with the final rows and process rows
	 */
	public ReceiptReporter(ControlThread control, SettleClient client, TableStore store) {
		this.control = control;
		this.client = client;
		this.store = store;
	}

	/**
	 * Starts the periodic reports.
	 */
	public void start() {
		this.timers.add(this.control.scheduleWithFixedDelay(INTERVAL, this::report));
		this.timers.add(this.control.scheduleWithFixedDelay(CLEANUP_INTERVAL, this::cleanUp));
	}

	/**
	 * Adds a receipt to report.
	 * @param receipt the receipt
	 * @param holderAddress the gRPC address of its holder
	 */
	public void add(Receipt receipt, String holderAddress) {
		this.queues.computeIfAbsent(receipt.getHolderIncarnation(), (holder) -> new HolderQueue(holder, holderAddress))
			.add(receipt, this.control.clock().millis());
		updateWaiting();
	}

	/**
	 * Returns the receipts on the grants of a holder that are not known to be durable.
	 * @param holder the holder incarnation
	 * @return the receipts
	 */
	public List<Receipt> waitingFor(String holder) {
		HolderQueue queue = this.queues.get(holder);
		return (queue != null) ? List.copyOf(queue.receipts()) : List.of();
	}

	/**
	 * Returns whether the receipts of active orders and of one more order stay within the
	 * limit.
	 * @param activeOrders the number of orders that run or wait
	 * @return {@code true} when they do
	 */
	public boolean hasCapacityFor(int activeOrders) {
		return this.waiting + activeOrders < MAX_WAITING;
	}

	/**
	 * Returns the number of waiting receipts; may be called from any thread.
	 * @return the count
	 */
	public int waiting() {
		return this.waiting;
	}

	@Override
	public void close() {
		this.timers.forEach(Cancellable::cancel);
	}

	private void report() {
		long nowMs = this.control.clock().millis();
		for (HolderQueue queue : this.queues.values()) {
			if (queue.isDue(nowMs)) {
				this.client.settle(queue.address(), queue.nextBatch())
					.whenCompleteAsync((response, failure) -> onSettleResult(queue, response), this.control);
			}
		}
	}

	private void onSettleResult(HolderQueue queue, @Nullable SettleResponse response) {
		if (response == null) {
			queue.onFailure(this.control.clock().millis());
			return;
		}
		queue.onResponse(response);
		updateWaiting();
	}

	private void cleanUp() {
		long nowMs = this.control.clock().millis();
		for (HolderQueue queue : List.copyOf(this.queues.values())) {
			if (queue.isIdle(nowMs)) {
				drop(queue);
			}
			else if (queue.isBlocked()) {
				this.store.read(List.of(JournalRow.finalKey(queue.holder()), ProcessRow.key(queue.holder())))
					.whenCompleteAsync((rows, failure) -> {
						if (rows != null) {
							dropIfClosed(queue, rows.get(0), rows.get(1));
						}
					}, this.control);
			}
		}
	}

	/**
	 * Discards the receipts of a closed holder. A holder that stopped gracefully has no
	 * final row, because it wrote the receipts of all its reservations before it stopped.
	 * @param queue the receipts of the holder
	 * @param finalRow the final row of the holder
	 * @param processRow the process row of the holder
	 */
	private void dropIfClosed(HolderQueue queue, Row finalRow, Row processRow) {
		if (finalRow.exists()) {
			drop(queue);
		}
		else if (isClosed(processRow)) {
			logger.warn("Holder {} stopped without confirming {} receipts; discarding them", queue.holder(),
					queue.size());
			drop(queue);
		}
	}

	private static boolean isClosed(Row processRow) {
		try {
			return processRow.exists()
					&& Json.read(processRow.json(), ProcessRow.class).state() == ProcessRow.State.CLOSED;
		}
		catch (JsonFormatException ex) {
			throw new IllegalStateException("The row " + processRow.key() + " is malformed", ex);
		}
	}

	private void drop(HolderQueue queue) {
		if (this.queues.remove(queue.holder(), queue)) {
			this.client.release(queue.address());
			updateWaiting();
		}
	}

	private void updateWaiting() {
		this.waiting = this.queues.values().stream().mapToInt(HolderQueue::size).sum();
	}

}
