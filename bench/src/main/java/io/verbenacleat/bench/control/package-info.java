/**
 * The experiment on the cost of control. It measures how CPU time, memory and serialized
 * sizes grow with the size of the fleet.
 */
@NullMarked
package io.verbenacleat.bench.control;

import org.jspecify.annotations.NullMarked;
