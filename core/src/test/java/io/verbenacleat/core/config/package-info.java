/**
 * Tests of the configuration.
 */
@NullMarked
package io.verbenacleat.core.config;

import org.jspecify.annotations.NullMarked;
