/**
 * Draining of an agent: the reasons for refusing new orders, and the steps of a graceful
 * stop.
 */
@NullMarked
package io.verbenacleat.agent.drain;

import org.jspecify.annotations.NullMarked;
