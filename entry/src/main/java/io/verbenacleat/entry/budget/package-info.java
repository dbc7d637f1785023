/**
 * The holder of budget grants: reservations, grants, journal, recovery.
 */
@NullMarked
package io.verbenacleat.entry.budget;

import org.jspecify.annotations.NullMarked;
