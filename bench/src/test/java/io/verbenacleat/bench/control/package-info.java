/**
 * Tests of the experiment on the cost of control.
 */
@NullMarked
package io.verbenacleat.bench.control;

import org.jspecify.annotations.NullMarked;
