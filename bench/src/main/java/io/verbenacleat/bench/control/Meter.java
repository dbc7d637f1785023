package io.verbenacleat.bench.control;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import java.util.stream.LongStream;

/**
 * Measures the CPU time of the calling thread and the memory retained by an object graph.
 * Stateless.
 */
public final class Meter {

	private static final int STEADY_COLLECTIONS = 6;

	private static final long NOISE_BYTES = 4_096;

	private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final int REPETITIONS = 5;

	private Meter() {
	}

	/**
	 * Runs a task and returns its CPU time on the calling thread.
	 * @param task the task
	 * @return the time, in microseconds
	 */
	public static double cpuMicros(Runnable task) {
		long startNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
		task.run();
		return (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNanos) / 1_000.0;
	}

	/**
	 * Returns the median CPU time of several runs of a task, after the same number of
	 * warm-up runs.
	 * @param task the task
	 * @return the time, in microseconds
	 */
	static double medianCpuMicros(Runnable task) {
		for (int i = 0; i < REPETITIONS; i++) {
			task.run();
		}
		double[] micros = new double[REPETITIONS];
		Arrays.setAll(micros, (i) -> cpuMicros(task));
		Arrays.sort(micros);
		return micros[REPETITIONS / 2];
	}

	/**
	 * Returns the heap retained by an object graph, which is what a full garbage
	 * collection frees once the graph is unreachable. Memory that is shared with other
	 * objects is not counted.
	 * @param factory creates the graph
	 * @return the median of several measurements, in bytes
	 */
	public static double retainedBytes(Supplier<Object> factory) {
		return LongStream.range(0, REPETITIONS)
			.map((i) -> retainedBytesOnce(factory))
			.sorted()
			.skip(REPETITIONS / 2)
			.findFirst()
			.orElseThrow();
	}

	private static long retainedBytesOnce(Supplier<Object> factory) {
		Object[] graph = { factory.get() };
		long withGraphBytes = liveBytes();
		graph[0] = "";
		return withGraphBytes - liveBytes();
	}

	/**
	 * Returns the size of the live heap once it no longer shrinks. Several collections
	 * are needed, because caches and the runtime release unreachable objects in the
	 * background, some only after a collection.
	 * @return the size, in bytes
	 */
	private static long liveBytes() {
		long lowest = Long.MAX_VALUE;
		for (int steady = 0; steady < STEADY_COLLECTIONS; steady++) {
			ForkJoinPool.commonPool().awaitQuiescence(1, TimeUnit.SECONDS);
			System.gc();
			long bytes = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
			if (bytes < lowest - NOISE_BYTES) {
				steady = 0;
			}
			lowest = Math.min(lowest, bytes);
			LockSupport.parkNanos(PAUSE_NANOS);
		}
		return lowest;
	}

}
