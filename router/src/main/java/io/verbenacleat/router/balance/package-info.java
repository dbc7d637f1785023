/**
 * Choice of a backend server.
 */
@NullMarked
package io.verbenacleat.router.balance;

import org.jspecify.annotations.NullMarked;
