/**
 * Tests of entries and agents that run in one JVM: invalid input, faults, and checks of
 * the history of a run.
 */
@NullMarked
package io.verbenacleat.itest.office;

import org.jspecify.annotations.NullMarked;
