/**
 * Access to the budget holders of the fleet: which entries hold an account, and calls to
 * them.
 */
@NullMarked
package io.verbenacleat.entry.holder;

import org.jspecify.annotations.NullMarked;
