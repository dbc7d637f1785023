/**
 * Control of the model engine: its desired state, the state that it reports, and the
 * reconciler that sends commands to remove the differences.
 */
@NullMarked
package io.verbenacleat.agent.command;

import org.jspecify.annotations.NullMarked;
