package io.verbenacleat.entry.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Makes the ids of the requests of one entry run. Safe for use by several threads.
 */
final class RequestIdGenerator {

	private final String incarnation;

	private final AtomicLong lastNumber = new AtomicLong();

	RequestIdGenerator(String incarnation) {
		this.incarnation = incarnation;
	}

	/**
	 * Returns an id that no other request has.
	 * @return the id
	 */
	String next() {
		return "req-" + this.incarnation + "-" + this.lastNumber.incrementAndGet();
	}

}
