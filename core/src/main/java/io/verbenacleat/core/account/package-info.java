/**
 * Prepaid accounts, grants and callers: their rows in the table store and the operations
 * of operators on them.
 */
@NullMarked
package io.verbenacleat.core.account;

import org.jspecify.annotations.NullMarked;
