/**
 * Tests of accounts.
 */
@NullMarked
package io.verbenacleat.core.account;

import org.jspecify.annotations.NullMarked;
