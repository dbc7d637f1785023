package io.verbenacleat.core.config;

/**
 * A site of an office. Immutable.
 *
 * @param name the name
 * @param zone its availability zone
 */
public record SiteConfig(String name, String zone) {
}
