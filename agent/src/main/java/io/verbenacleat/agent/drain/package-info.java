/**
 * The reasons for which an agent refuses new orders.
 */
@NullMarked
package io.verbenacleat.agent.drain;

import org.jspecify.annotations.NullMarked;
