/**
 * The experiment on limits. It compares the queue of the agent with baselines under
 * overload, in front of fake servers in virtual time.
 */
@NullMarked
package io.verbenacleat.bench.limits;

import org.jspecify.annotations.NullMarked;
