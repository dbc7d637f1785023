package io.verbenacleat.itest;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Runs callers that send chat requests and bookings to all entries until it is closed. A
 * request without a complete answer is retried at another entry: a chat request as a new
 * request, a booking with the same idempotency key. The result of every attempt is
 * recorded. {@link #start} and {@link #close} are called by one thread; the other methods
 * are thread-safe.
 */
final class LoadGenerator implements AutoCloseable {

	private static final int MAX_ATTEMPTS = 8;

	private static final int BOOKING_PERCENT = 15;

	private static final int MAX_ANSWER_TOKENS = 40;

	private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	private final Queue<CallRecord> records = new ConcurrentLinkedQueue<>();

	private final Map<String, AtomicInteger> inProgress = new ConcurrentHashMap<>();

	private final List<Thread> threads = new ArrayList<>();

	private final Caller caller;

	private volatile boolean stopped;

	/**
	 * Creates a generator without callers.
	 * @param caller the client that sends the requests
	 */
	LoadGenerator(Caller caller) {
		this.caller = caller;
		ProcessFleet.ENTRIES.forEach((entry) -> this.inProgress.put(entry, new AtomicInteger()));
	}

	/**
	 * Starts callers, each with a thread.
	 * @param seed the seed of their random choices
	 * @param count the number of callers
	 */
	void start(long seed, int count) {
		SplittableRandom seeds = new SplittableRandom(seed);
		for (int number = 0; number < count; number++) {
			SplittableRandom random = seeds.split();
			String name = "caller" + this.threads.size();
			Thread thread = new Thread(() -> run(name, random), name);
			thread.setDaemon(true);
			this.threads.add(thread);
			thread.start();
		}
	}

	/**
	 * Returns the requests that have ended.
	 * @return a copy, in the order in which they ended
	 */
	List<CallRecord> records() {
		return List.copyOf(this.records);
	}

	/**
	 * Counts the requests that ended with an outcome.
	 * @param outcome the outcome
	 * @return the number of requests
	 */
	long count(CallRecord.Outcome outcome) {
		return this.records.stream().filter((call) -> call.outcome() == outcome).count();
	}

	/**
	 * Counts the requests in progress at an entry.
	 * @param entry the name of the entry
	 * @return the number of requests
	 */
	int inProgress(String entry) {
		AtomicInteger count = this.inProgress.get(entry);
		return (count != null) ? count.get() : 0;
	}

	/**
	 * Stops all callers and waits until their requests in progress have ended.
	 */
	@Override
	public void close() {
		this.stopped = true;
		for (Thread thread : this.threads) {
			try {
				thread.join();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private void run(String name, SplittableRandom random) {
		for (int number = 0; !this.stopped; number++) {
			String id = name + "x" + number;
			boolean booking = random.nextInt(100) < BOOKING_PERCENT;
			int answerTokens = random.nextInt(1, MAX_ANSWER_TOKENS + 1);
			int first = random.nextInt(ProcessFleet.ENTRIES.size());
			for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
				String entry = ProcessFleet.ENTRIES.get((first + attempt) % ProcessFleet.ENTRIES.size());
				CallRecord call = send(id + "a" + attempt, id, entry, booking, answerTokens);
				if (call.outcome() == CallRecord.Outcome.WHOLE || this.stopped) {
					break;
				}
				LockSupport.parkNanos(RETRY_DELAY_NANOS);
			}
		}
	}

	private CallRecord send(String attemptId, String id, String entry, boolean booking, int answerTokens) {
		AtomicInteger count = this.inProgress.computeIfAbsent(entry, (name) -> new AtomicInteger());
		count.incrementAndGet();
		try {
			CallRecord call = (booking) ? this.caller.createBooking(attemptId, entry, "key-" + id)
					: this.caller.chat(attemptId, entry, answerTokens);
			this.records.add(call);
			return call;
		}
		finally {
			count.decrementAndGet();
		}
	}

}
