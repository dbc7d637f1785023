/**
 * The configuration of an office: base file, site overlays, checks and stored versions.
 */
@NullMarked
package io.verbenacleat.core.config;

import org.jspecify.annotations.NullMarked;
