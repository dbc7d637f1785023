/**
 * The experiment on the cost of the hop through entry and agent.
 */
@NullMarked
package io.verbenacleat.bench.hop;

import org.jspecify.annotations.NullMarked;
