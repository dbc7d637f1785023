/**
 * Reporting of receipts to their holders until they are durable.
 */
@NullMarked
package io.verbenacleat.agent.receipt;

import org.jspecify.annotations.NullMarked;
