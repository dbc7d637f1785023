package io.verbenacleat.entry.holder;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.ControlThread;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReleaseRequest;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;
import org.jspecify.annotations.Nullable;

/**
 * Sends receipts and releases repeatedly until their holder has acknowledged them or has
 * left the fleet. Items are added from any thread; all other state is confined to the
 * control thread.
 */
final class HolderOutbox {

	private static final Duration RESEND_INTERVAL = Duration.ofSeconds(1);

	/**
	 * The time for which items for an unlisted holder are kept, because a holder that has
	 * just started may not be listed yet.
	 */
	private static final Duration UNLISTED_RETENTION = Duration.ofMinutes(5);

	private final HolderDirectory directory;

	private final ControlThread control;

	private final Map<String, Item> items = new LinkedHashMap<>();

	HolderOutbox(HolderDirectory directory, ControlThread control) {
		this.directory = directory;
		this.control = control;
		control.scheduleWithFixedDelay(RESEND_INTERVAL, this::resendAll);
	}

	/**
	 * Returns the number of items that wait for an acknowledgement which may still
	 * arrive. Must be called on the control thread. Items for a holder that is no longer
	 * a member are not counted: such a holder was closed, its closer accounts for its
	 * reservations, and the agents keep their receipts for the closer.
	 * @return the number, zero or more
	 */
	int unacknowledgedCount() {
		return (int) this.items.values()
			.stream()
			.filter((item) -> this.directory.isMember(item.holder.incarnation()))
			.count();
	}

	/**
	 * Sends a receipt repeatedly until it is acknowledged.
	 * @param holder the holder
	 * @param receipt the receipt
	 * @return completes when the holder has acknowledged the receipt, and never if the
	 * holder was closed or has left the fleet
	 */
	CompletableFuture<Void> settle(HolderAddress holder, Receipt receipt) {
		Item item = new Item(holder, receipt.getRequestId(), receipt, this.control.clock().millis());
		this.control.execute(() -> add("settle/" + receipt.getRequestId(), item));
		return item.acknowledged;
	}

	/**
	 * Sends the release of a reservation repeatedly until it is acknowledged.
	 * @param holder the holder
	 * @param requestId the id of the request with the reservation
	 */
	void release(HolderAddress holder, String requestId) {
		Item item = new Item(holder, requestId, null, this.control.clock().millis());
		this.control.execute(() -> add("release/" + holder.incarnation() + "/" + requestId, item));
	}

	private void add(String key, Item item) {
		this.items.put(key, item);
		send(item.holder, Map.of(key, item));
	}

	private void resendAll() {
		this.items.values().removeIf(this::isExpired);
		Map<HolderAddress, Map<String, Item>> byHolder = new HashMap<>();
		this.items.forEach(
				(key, item) -> byHolder.computeIfAbsent(item.holder, (any) -> new LinkedHashMap<>()).put(key, item));
		byHolder.forEach(this::send);
	}

	private boolean isExpired(Item item) {
		boolean old = this.control.clock().millis() - item.createdAtMs > UNLISTED_RETENTION.toMillis();
		return old && !this.directory.isMember(item.holder.incarnation());
	}

	private void send(HolderAddress holder, Map<String, Item> batch) {
		SettleRequest.Builder receipts = SettleRequest.newBuilder();
		ReleaseRequest.Builder releases = ReleaseRequest.newBuilder().setHolderIncarnation(holder.incarnation());
		List<String> settled = new ArrayList<>();
		List<String> released = new ArrayList<>();
		batch.forEach((key, item) -> {
			if (item.receipt != null) {
				receipts.addReceipts(item.receipt);
				settled.add(key);
			}
			else {
				releases.addRequestIds(item.requestId);
				released.add(key);
			}
		});
		if (!settled.isEmpty()) {
			this.directory.holder(holder.address())
				.settle(receipts.build())
				.whenCompleteAsync((response, failure) -> onSettleResponse(settled, response), this.control);
		}
		if (!released.isEmpty()) {
			this.directory.holder(holder.address())
				.release(releases.build())
				.whenCompleteAsync((response, failure) -> acknowledge(released, failure == null), this.control);
		}
	}

	private void onSettleResponse(List<String> keys, @Nullable SettleResponse response) {
		if (response != null && response.getHolderClosed()) {
			// The agents keep these receipts and report them to the closer of the holder.
			keys.forEach(this.items::remove);
			return;
		}
		acknowledge(keys, response != null);
	}

	private void acknowledge(List<String> keys, boolean done) {
		if (done) {
			keys.forEach((key) -> {
				Item item = this.items.remove(key);
				if (item != null) {
					item.acknowledged.complete(null);
				}
			});
		}
	}

	private static final class Item {

		private final HolderAddress holder;

		private final String requestId;

		private final @Nullable Receipt receipt;

		private final long createdAtMs;

		private final CompletableFuture<Void> acknowledged = new CompletableFuture<>();

		private Item(HolderAddress holder, String requestId, @Nullable Receipt receipt, long createdAtMs) {
			this.holder = holder;
			this.requestId = requestId;
			this.receipt = receipt;
			this.createdAtMs = createdAtMs;
		}

	}

}
