/**
 * Receipts that are not durable yet.
 */
@NullMarked
package io.verbenacleat.agent.receipt;

import org.jspecify.annotations.NullMarked;
