/**
 * The experiment on the cost of control: slopes of CPU time, memory and bytes.
 */
@NullMarked
package io.verbenacleat.bench.control;

import org.jspecify.annotations.NullMarked;
