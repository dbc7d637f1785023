/**
 * Selects a backend server for a request by its load and by the prompt prefix that its
 * engine has probably cached.
 */
@NullMarked
package io.verbenacleat.entry.routing;

import org.jspecify.annotations.NullMarked;
