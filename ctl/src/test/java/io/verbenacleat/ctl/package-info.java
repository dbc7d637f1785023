/**
 * Tests of the command line.
 */
@NullMarked
package io.verbenacleat.ctl;

import org.jspecify.annotations.NullMarked;
