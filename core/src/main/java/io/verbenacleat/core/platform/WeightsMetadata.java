package io.verbenacleat.core.platform;

/**
 * What the weight store knows about the weights of a model. Immutable.
 *
 * @param model the name of the model
 * @param version the version of the weights
 * @param sizeBytes their size in bytes
 * @param sha256 their SHA-256, lower-case hex
 */
public record WeightsMetadata(String model, String version, long sizeBytes, String sha256) {
}
