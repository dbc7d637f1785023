package io.verbenacleat.entry.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates request ids that are unique in the fleet, since they contain the incarnation
 * of the entry. Safe for use by several threads.
 */
final class RequestIdGenerator {

	private final String incarnation;

	private final AtomicLong lastNumber = new AtomicLong();

	RequestIdGenerator(String incarnation) {
		this.incarnation = incarnation;
	}

	/**
	 * Returns a new request id.
	 * @return the id
	 */
	String next() {
		return "req-" + this.incarnation + "-" + this.lastNumber.incrementAndGet();
	}

}
