/**
 * The control thread, its clock and timers, and the blackboard that controllers share.
 */
@NullMarked
package io.verbenacleat.core.control;

import org.jspecify.annotations.NullMarked;
