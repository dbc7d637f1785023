package io.verbenacleat.bench.weights;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.verbenacleat.core.control.ManualControlThread;

/**
 * Delays calls and their responses by a network delay in virtual time. Stateless.
 */
final class RoundTrip {

	private static final Duration ONE_WAY = Duration.ofMillis(2);

	private RoundTrip() {
	}

	/**
	 * Runs a call after the delay of the request and completes after that of the
	 * response.
	 * @param control schedules the delays
	 * @param call the call
	 * @param <T> the type of the response
	 * @return the response
	 */
	static <T> CompletableFuture<T> delayed(ManualControlThread control, Supplier<T> call) {
		CompletableFuture<T> result = new CompletableFuture<>();
		control.schedule(ONE_WAY, () -> {
			T answer = call.get();
			control.schedule(ONE_WAY, () -> result.complete(answer));
		});
		return result;
	}

}
