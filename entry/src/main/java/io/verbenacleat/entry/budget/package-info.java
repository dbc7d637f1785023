/**
 * The budget holder of an entry: grants, reservations, the receipt journal, and the
 * closing of lost processes.
 */
@NullMarked
package io.verbenacleat.entry.budget;

import org.jspecify.annotations.NullMarked;
