package io.verbenacleat.core.platform;

/**
 * Metadata of the weights of a model in the weight store. Immutable.
 *
 * @param model the name of the model
 * @param version the version of the weights
 * @param sizeBytes the size of the weights in bytes
 * @param sha256 the SHA-256 of the weights, lower-case hex
 */
public record WeightsMetadata(String model, String version, long sizeBytes, String sha256) {
}
