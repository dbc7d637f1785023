/**
 * Forwards HTTP requests of callers to backend servers and their responses back.
 */
@NullMarked
package io.verbenacleat.router.relay;

import org.jspecify.annotations.NullMarked;
