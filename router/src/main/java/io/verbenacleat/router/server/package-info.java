/**
 * Registrations of backend servers.
 */
@NullMarked
package io.verbenacleat.router.server;

import org.jspecify.annotations.NullMarked;
