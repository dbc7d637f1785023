package io.verbenacleat.core.config;

/**
 * An adapter that a model engine serves on top of one of its models. Immutable.
 *
 * @param name the name that callers give as the model
 * @param model the name of the adapted model, which the same backend server serves
 * @param version the version of the weights of the adapter
 */
public record AdapterConfig(String name, String model, String version) {
}
