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
 * Keeps each receipt until its holder has written it to the journal, or the final row of
 * a closed holder contains it. Reports each second, with backoff while a holder does not
 * answer. Control thread only, except {@link #waiting()}.
 * <p>
 * At most {@value #MAX_WAITING} receipts wait, about 8 MB reckoned; the order table
 * starts no order whose receipt would not fit.
 */
public final class ReceiptReporter implements AutoCloseable {

	/** The most receipts that wait, those of running orders included. */
	public static final int MAX_WAITING = 8_192;

	private static final Logger logger = LogManager.getLogger(ReceiptReporter.class);

	private static final Duration INTERVAL = Duration.ofSeconds(1);

	/** The final rows appear some 10 s after a holder was lost, at the earliest. */
	private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(15);

	private final ControlThread control;

	private final SettleClient client;

	private final TableStore store;

	private final Map<String, HolderQueue> queues = new HashMap<>();

	private final List<Cancellable> timers = new ArrayList<>();

	private volatile int waiting;

	/**
	 * Creates a reporter that reports nothing until {@link #start}.
	 * @param control the control thread
	 * @param client reports to the holders
	 * @param store the table store with the final rows
	 */
	public ReceiptReporter(ControlThread control, SettleClient client, TableStore store) {
		this.control = control;
		this.client = client;
		this.store = store;
	}

	/**
	 * Starts to report.
	 */
	public void start() {
		this.timers.add(this.control.scheduleWithFixedDelay(INTERVAL, this::report));
		this.timers.add(this.control.scheduleWithFixedDelay(CLEANUP_INTERVAL, this::cleanUp));
	}

	/**
	 * Keeps and reports a receipt.
	 * @param receipt the receipt
	 * @param holderAddress the gRPC address of its holder
	 */
	public void add(Receipt receipt, String holderAddress) {
		this.queues.computeIfAbsent(receipt.getHolderIncarnation(), (holder) -> new HolderQueue(holder, holderAddress))
			.add(receipt, this.control.clock().millis());
		count();
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
	 * Returns whether there is room for the receipts of running orders and one more.
	 * @param running the number of running orders
	 * @return {@code true} when there is room
	 */
	public boolean hasCapacityFor(int running) {
		return this.waiting + running < MAX_WAITING;
	}

	/**
	 * Returns how many receipts wait; may be called from any thread.
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
			if (queue.due(nowMs)) {
				this.client.settle(queue.address(), queue.nextBatch())
					.whenCompleteAsync((response, failure) -> settled(queue, response), this.control);
			}
		}
	}

	private void settled(HolderQueue queue, @Nullable SettleResponse response) {
		if (response == null) {
			queue.failed(this.control.clock().millis());
			return;
		}
		queue.answered(response);
		count();
	}

	private void cleanUp() {
		long nowMs = this.control.clock().millis();
		for (HolderQueue queue : List.copyOf(this.queues.values())) {
			if (queue.idle(nowMs)) {
				drop(queue);
			}
			else if (queue.stuck()) {
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
	 * Drops the receipts of a holder that is closed. A holder that stopped gracefully has
	 * no final row; it had written the receipts of all its reservations before.
	 * @param queue the receipts
	 * @param finalRow the final row of the holder
	 * @param processRow the process row of the holder
	 */
	private void dropIfClosed(HolderQueue queue, Row finalRow, Row processRow) {
		if (finalRow.exists()) {
			drop(queue);
		}
		else if (isClosed(processRow)) {
			logger.warn("Holder {} stopped without taking {} receipts, dropped", queue.holder(), queue.size());
			drop(queue);
		}
	}

	private static boolean isClosed(Row processRow) {
		try {
			return processRow.exists()
					&& Json.read(processRow.json(), ProcessRow.class).state() == ProcessRow.State.CLOSED;
		}
		catch (JsonFormatException ex) {
			throw new IllegalStateException("The row " + processRow.key() + " has a wrong form", ex);
		}
	}

	private void drop(HolderQueue queue) {
		if (this.queues.remove(queue.holder(), queue)) {
			this.client.release(queue.address());
			count();
		}
	}

	private void count() {
		this.waiting = this.queues.values().stream().mapToInt(HolderQueue::size).sum();
	}

}
