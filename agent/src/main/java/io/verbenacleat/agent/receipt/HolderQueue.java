package io.verbenacleat.agent.receipt;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * Receipts to report to one holder, with the retry state of the reports. Control thread
 * only.
 */
final class HolderQueue {

	private static final int MAX_BATCH = 500;

	private static final long FIRST_BACKOFF_MS = 1_000;

	private static final long MAX_BACKOFF_MS = 30_000;

	private static final long IDLE_MS = 300_000;

	private final String holder;

	private final String address;

	private final Map<String, Receipt> receipts = new LinkedHashMap<>();

	private boolean inFlight;

	private boolean holderClosed;

	private long lastUsedMs;

	private long backoffMs;

	private long nextReportMs = Long.MIN_VALUE;

	HolderQueue(String holder, String address) {
		this.holder = holder;
		this.address = address;
	}

	String holder() {
		return this.holder;
	}

	String address() {
		return this.address;
	}

	void add(Receipt receipt, long nowMs) {
		this.lastUsedMs = nowMs;
		this.receipts.put(receipt.getRequestId(), receipt);
	}

	Collection<Receipt> receipts() {
		return this.receipts.values();
	}

	int size() {
		return this.receipts.size();
	}

	/**
	 * Returns whether the queue has been empty and unused for 5 minutes.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code true} when the connection to the holder may be closed
	 */
	boolean isIdle(long nowMs) {
		return this.receipts.isEmpty() && nowMs - this.lastUsedMs >= IDLE_MS;
	}

	/**
	 * Returns whether the holder currently accepts no receipts.
	 * @return {@code true} after a failed report or when the holder is closed
	 */
	boolean isBlocked() {
		return this.holderClosed || this.backoffMs > 0;
	}

	boolean isDue(long nowMs) {
		return !this.inFlight && !this.holderClosed && !this.receipts.isEmpty() && nowMs >= this.nextReportMs;
	}

	SettleRequest nextBatch() {
		this.inFlight = true;
		SettleRequest.Builder batch = SettleRequest.newBuilder();
		this.receipts.values().stream().limit(MAX_BATCH).forEach(batch::addReceipts);
		return batch.build();
	}

	void onResponse(SettleResponse response) {
		this.inFlight = false;
		this.backoffMs = 0;
		this.nextReportMs = Long.MIN_VALUE;
		this.holderClosed = response.getHolderClosed();
		response.getDurableRequestIdsList().forEach(this.receipts::remove);
	}

	void onFailure(long nowMs) {
		this.inFlight = false;
		this.backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(FIRST_BACKOFF_MS, this.backoffMs * 2));
		this.nextReportMs = nowMs + this.backoffMs;
	}

}
