/**
 * The experiment on the rate of the weight store: ways in which agents share it after a
 * zone restart are compared in virtual time.
 */
@NullMarked
package io.verbenacleat.bench.weights;

import org.jspecify.annotations.NullMarked;
