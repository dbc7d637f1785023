package io.verbenacleat.router.relay;

/**
 * Estimates how long a request waits for the network link of this host, and decides
 * whether the router takes it on. Not safe for use by several threads.
 * <p>
 * The balancer of the platform assigns callers to routers by a hash, so a host with a
 * slow link may get a multiple of its share. Beyond the rate of the link, each request
 * delays all others, while a refused caller is served by another router. The bytes that
 * are written drain from a virtual queue at the rate of the link, because the queue of
 * the operating system cannot be read.
 */
final class HostLoad {

	/**
	 * Part of the link that requests and responses can use, besides headers of packets.
	 */
	private static final double USABLE_FRACTION = 0.9;

	/** Headers of a request or of a response, and of their packets. */
	private static final int MESSAGE_OVERHEAD_BYTES = 700;

	/** Framing of one part of a body, and the headers of its packet. */
	private static final int PART_OVERHEAD_BYTES = 70;

	/**
	 * Part of the latency target of a route that a request may wait on this host. A
	 * refused caller that reaches another router at once is still served in time.
	 */
	private static final double MAX_WAIT_FRACTION = 0.4;

	/**
	 * Shortest wait for which a request is refused; shorter ones are scheduling jitter.
	 */
	private static final long MIN_WAIT_MS = 60;

	private static final double BYTES_PER_MS_AND_MBPS = 125;

	private final double bytesPerMs;

	private double queuedBytes;

	private long drainedAtMs;

	/**
	 * Creates an idle host.
	 * @param linkMbps the rate of the network link in Mbit/s, 0 if unknown
	 */
	HostLoad(double linkMbps) {
		this.bytesPerMs = linkMbps * BYTES_PER_MS_AND_MBPS * USABLE_FRACTION;
	}

	/**
	 * Records that a message is written to the network.
	 * @param bodyBytes the size of its body, 0 or more
	 * @param nowMs the steady time in milliseconds
	 */
	void onMessage(long bodyBytes, long nowMs) {
		enqueue(bodyBytes + MESSAGE_OVERHEAD_BYTES, nowMs);
	}

	/**
	 * Records that a part of the body of a response is written to the network.
	 * @param bytes its size
	 * @param nowMs the steady time in milliseconds
	 */
	void onBodyPart(long bytes, long nowMs) {
		enqueue(bytes + PART_OVERHEAD_BYTES, nowMs);
	}

	/**
	 * Returns the expected wait of a request on this host.
	 * @param bodyBytes the size of its body
	 * @param nowMs the steady time in milliseconds
	 * @return the time in milliseconds
	 */
	long expectedWaitMs(long bodyBytes, long nowMs) {
		drain(nowMs);
		return (this.bytesPerMs > 0)
				? (long) ((this.queuedBytes + bodyBytes + MESSAGE_OVERHEAD_BYTES) / this.bytesPerMs) : 0;
	}

	/**
	 * Returns whether the router takes on a request.
	 * @param bodyBytes the size of its body
	 * @param targetLatencyMs the latency target of its route
	 * @param nowMs the steady time in milliseconds
	 * @return {@code false} if it would wait for a large part of the target
	 */
	boolean accepts(long bodyBytes, long targetLatencyMs, long nowMs) {
		return expectedWaitMs(bodyBytes, nowMs) <= Math.max(MIN_WAIT_MS, targetLatencyMs * MAX_WAIT_FRACTION);
	}

	private void enqueue(long bytes, long nowMs) {
		drain(nowMs);
		this.queuedBytes += bytes;
	}

	private void drain(long nowMs) {
		this.queuedBytes = Math.max(0, this.queuedBytes - (nowMs - this.drainedAtMs) * this.bytesPerMs);
		this.drainedAtMs = nowMs;
	}

}
