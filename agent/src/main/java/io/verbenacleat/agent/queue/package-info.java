/**
 * Fair queue of the orders for a backend server, with a bounded length, a maximum wait
 * and load shedding.
 */
@NullMarked
package io.verbenacleat.agent.queue;

import org.jspecify.annotations.NullMarked;
