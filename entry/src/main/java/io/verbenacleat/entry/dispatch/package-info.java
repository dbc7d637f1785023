/**
 * Dispatch of orders to agents: agent selection, sending, status queries and the retry
 * budget.
 */
@NullMarked
package io.verbenacleat.entry.dispatch;

import org.jspecify.annotations.NullMarked;
