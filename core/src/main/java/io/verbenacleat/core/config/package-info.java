/**
 * The configuration of an office: a base file with an overlay for each site, its checks,
 * and its stored versions.
 */
@NullMarked
package io.verbenacleat.core.config;

import org.jspecify.annotations.NullMarked;
