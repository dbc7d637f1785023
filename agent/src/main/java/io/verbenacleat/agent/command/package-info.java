/**
 * Commands to the model engine: what it is to have, what it reports, and the reconciler
 * that makes the one match the other.
 */
@NullMarked
package io.verbenacleat.agent.command;

import org.jspecify.annotations.NullMarked;
