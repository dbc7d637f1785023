/**
 * History checks and bad input against entries and agents in one JVM.
 */
@NullMarked
package io.verbenacleat.itest.office;

import org.jspecify.annotations.NullMarked;
