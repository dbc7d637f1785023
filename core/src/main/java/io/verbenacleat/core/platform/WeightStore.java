package io.verbenacleat.core.platform;

import java.util.concurrent.CompletableFuture;

/**
 * The rate-limited store of model weights. Implementations are safe for use by several
 * threads.
 */
public interface WeightStore {

	/**
	 * Fetches the metadata of the weights of a model.
	 * @param model the name of the model, not empty
	 * @return a future of the outcome; fails with a {@link PlatformException}
	 */
	CompletableFuture<WeightsOutcome> fetch(String model);

}
