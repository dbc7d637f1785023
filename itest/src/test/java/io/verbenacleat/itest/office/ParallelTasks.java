package io.verbenacleat.itest.office;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntConsumer;

/**
 * Runs tasks in parallel, either once or repeatedly until it is closed. Not thread-safe.
 */
final class ParallelTasks implements AutoCloseable {

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final List<Future<?>> workers = new ArrayList<>();

	private volatile boolean stopped;

	/**
	 * Runs tasks in parallel, at most 48 at a time, and waits for their results.
	 * @param tasks the tasks, not empty
	 * @param <T> the type of a result
	 * @return the results in the order of the tasks
	 * @throws Exception when a task failed
	 */
	static <T> List<T> runAll(List<Callable<T>> tasks) throws Exception {
		ExecutorService executor = Executors.newFixedThreadPool(Math.min(48, tasks.size()));
		CountDownLatch start = new CountDownLatch(1);
		try {
			List<Future<T>> futures = new ArrayList<>();
			for (Callable<T> task : tasks) {
				futures.add(executor.submit(() -> {
					start.await();
					return task.call();
				}));
			}
			start.countDown();
			List<T> results = new ArrayList<>();
			for (Future<T> future : futures) {
				results.add(future.get());
			}
			return results;
		}
		finally {
			executor.shutdownNow();
		}
	}

	/**
	 * Starts a thread that repeats a step until {@link #close}.
	 * @param step the step, which receives the number of steps before
	 */
	void repeat(IntConsumer step) {
		this.workers.add(this.executor.submit(() -> {
			for (int i = 0; !this.stopped; i++) {
				step.accept(i);
			}
		}));
	}

	/**
	 * Stops all threads after their current steps. A failure of a step is thrown.
	 */
	@Override
	public void close() throws ExecutionException, InterruptedException {
		this.stopped = true;
		for (Future<?> worker : this.workers) {
			worker.get();
		}
		this.executor.shutdown();
	}

}
