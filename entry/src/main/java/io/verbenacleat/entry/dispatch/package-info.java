/**
 * Orders to agents: selection, sending, resolution, retry budget.
 */
@NullMarked
package io.verbenacleat.entry.dispatch;

import org.jspecify.annotations.NullMarked;
