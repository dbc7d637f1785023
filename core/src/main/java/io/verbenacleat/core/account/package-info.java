/**
 * Accounts, grants and callers as they stand in the table service.
 */
@NullMarked
package io.verbenacleat.core.account;

import org.jspecify.annotations.NullMarked;
