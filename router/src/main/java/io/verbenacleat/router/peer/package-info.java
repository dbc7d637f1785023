/**
 * Calls between routers, which exchange the configuration, the registrations of backend
 * servers and prepaid tokens while the store is unreachable.
 */
@NullMarked
package io.verbenacleat.router.peer;

import org.jspecify.annotations.NullMarked;
