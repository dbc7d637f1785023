/**
 * Messages between routers, which replace the store while it cannot be reached: the
 * configuration, the registrations of backend servers and prepaid tokens.
 */
@NullMarked
package io.verbenacleat.router.peer;

import org.jspecify.annotations.NullMarked;
