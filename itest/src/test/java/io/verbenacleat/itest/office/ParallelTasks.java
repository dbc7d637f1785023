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
 * Runs tasks at once, or over and over until it is closed. Not safe for use by several
 * threads.
 */
final class ParallelTasks implements AutoCloseable {

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final List<Future<?>> workers = new ArrayList<>();

	private volatile boolean stopped;

	/**
	 * Runs all tasks at once and returns their results in order.
	 * @param tasks the tasks
	 * @param <T> the type of a result
	 * @return the results
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
	 * Starts a worker that repeats a step with its count until the end.
	 * @param step the step
	 */
	void repeat(IntConsumer step) {
		this.workers.add(this.executor.submit(() -> {
			for (int i = 0; !this.stopped; i++) {
				step.accept(i);
			}
		}));
	}

	/**
	 * Ends the workers after their present steps.
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
