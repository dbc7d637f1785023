/**
 * The way of one request through an entry: reservation, claim, order, receipt.
 */
@NullMarked
package io.verbenacleat.entry.request;

import org.jspecify.annotations.NullMarked;
