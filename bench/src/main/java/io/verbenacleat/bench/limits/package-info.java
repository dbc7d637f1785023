/**
 * The queue of the agent under overload, against fake servers in virtual time.
 */
@NullMarked
package io.verbenacleat.bench.limits;

import org.jspecify.annotations.NullMarked;
