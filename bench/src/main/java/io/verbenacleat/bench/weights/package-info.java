/**
 * The experiment on the rate limit of the weight store. It compares schemes by which
 * agents share the limit after the restart of a zone, in virtual time.
 */
@NullMarked
package io.verbenacleat.bench.weights;

import org.jspecify.annotations.NullMarked;
