/**
 * Load balancing over backend servers.
 */
@NullMarked
package io.verbenacleat.router.balance;

import org.jspecify.annotations.NullMarked;
