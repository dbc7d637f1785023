/**
 * Tests of the experiment on even load.
 */
@NullMarked
package io.verbenacleat.bench.evenload;

import org.jspecify.annotations.NullMarked;
