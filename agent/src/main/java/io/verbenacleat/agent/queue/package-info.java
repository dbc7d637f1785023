/**
 * The queue of orders that wait for a backend server: order, bound and shedding.
 */
@NullMarked
package io.verbenacleat.agent.queue;

import org.jspecify.annotations.NullMarked;
