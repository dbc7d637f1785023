/**
 * The entry daemon, which accepts the HTTP requests of callers and routes them to agents.
 */
@NullMarked
package io.verbenacleat.entry;

import org.jspecify.annotations.NullMarked;
