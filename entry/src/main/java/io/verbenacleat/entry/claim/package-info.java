/**
 * Claims of idempotency keys, which prevent a request from being run twice, as rows of
 * the table store.
 */
@NullMarked
package io.verbenacleat.entry.claim;

import org.jspecify.annotations.NullMarked;
