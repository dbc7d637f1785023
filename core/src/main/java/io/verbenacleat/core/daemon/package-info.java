/**
 * Common parts of the daemons: process startup and shutdown, settings, exit codes, and
 * the HTTP and admin servers.
 */
@NullMarked
package io.verbenacleat.core.daemon;

import org.jspecify.annotations.NullMarked;
