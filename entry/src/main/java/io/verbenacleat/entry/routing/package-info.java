/**
 * Policies that select the backend server of a request by load and by the prompt prefix
 * that the engine has probably cached.
 */
@NullMarked
package io.verbenacleat.entry.routing;

import org.jspecify.annotations.NullMarked;
