package io.verbenacleat.core.config;

/**
 * The text of one configuration file. Immutable.
 *
 * @param file the name of the file, for messages
 * @param text the YAML text
 */
public record ConfigText(String file, String text) {
}
