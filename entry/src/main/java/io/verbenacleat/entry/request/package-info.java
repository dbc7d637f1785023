/**
 * Execution of caller requests in an entry: reservation, claim, order and receipt.
 */
@NullMarked
package io.verbenacleat.entry.request;

import org.jspecify.annotations.NullMarked;
