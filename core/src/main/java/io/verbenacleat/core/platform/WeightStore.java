package io.verbenacleat.core.platform;

import java.util.concurrent.CompletableFuture;

/**
 * The rate-limited store of model weights. Implementations are safe for use by several
 * threads.
 */
public interface WeightStore {

	/**
	 * Fetches what the store knows about the weights of a model.
	 * @param model the name of the model, not empty
	 * @return the outcome; fails with a {@link PlatformException}
	 */
	CompletableFuture<WeightsOutcome> fetch(String model);

}
