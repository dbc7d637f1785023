package io.verbenacleat.core.config;

/**
 * A site of an office. Immutable.
 *
 * @param name the name of the site
 * @param zone the availability zone of the site
 */
public record SiteConfig(String name, String zone) {
}
