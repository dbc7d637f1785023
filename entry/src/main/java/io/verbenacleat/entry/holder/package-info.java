/**
 * The way to the budget holders of the fleet: which entry holds an account, and how it is
 * reached.
 */
@NullMarked
package io.verbenacleat.entry.holder;

import org.jspecify.annotations.NullMarked;
