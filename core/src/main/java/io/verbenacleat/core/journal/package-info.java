/**
 * The journal of receipts: its rows in the table service.
 */
@NullMarked
package io.verbenacleat.core.journal;

import org.jspecify.annotations.NullMarked;
