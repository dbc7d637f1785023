/**
 * Calls between routers. They exchange the configuration and the registrations of backend
 * servers while the store is unreachable, and lend each other prepaid tokens.
 */
@NullMarked
package io.verbenacleat.router.peer;

import org.jspecify.annotations.NullMarked;
