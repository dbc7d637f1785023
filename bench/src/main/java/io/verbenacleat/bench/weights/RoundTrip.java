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

	static <T> CompletableFuture<T> delayed(ManualControlThread control, Supplier<T> call) {
		CompletableFuture<T> result = new CompletableFuture<>();
		control.schedule(ONE_WAY, () -> {
			T answer = call.get();
			control.schedule(ONE_WAY, () -> result.complete(answer));
		});
		return result;
	}

}
