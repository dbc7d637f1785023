/**
 * The experiment on the cost of the hop through an entry and an agent. It compares direct
 * and routed calls to the same engine.
 */
@NullMarked
package io.verbenacleat.bench.hop;

import org.jspecify.annotations.NullMarked;
