/**
 * The control thread with its clock and timers, and the state that controllers share.
 */
@NullMarked
package io.verbenacleat.core.control;

import org.jspecify.annotations.NullMarked;
