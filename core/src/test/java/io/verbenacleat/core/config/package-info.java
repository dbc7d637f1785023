/**
 * Tests of loading and storing the configuration.
 */
@NullMarked
package io.verbenacleat.core.config;

import org.jspecify.annotations.NullMarked;
