/**
 * Tests of accounts and callers.
 */
@NullMarked
package io.verbenacleat.core.account;

import org.jspecify.annotations.NullMarked;
