/**
 * Connections of callers and to backend servers.
 */
@NullMarked
package io.verbenacleat.router.relay;

import org.jspecify.annotations.NullMarked;
