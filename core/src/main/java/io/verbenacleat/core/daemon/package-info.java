/**
 * What every daemon shares: settings, exit codes, logging, metrics and the admin server.
 */
@NullMarked
package io.verbenacleat.core.daemon;

import org.jspecify.annotations.NullMarked;
