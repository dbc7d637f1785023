/**
 * The command line tool {@code verbenactl} for operators.
 */
@NullMarked
package io.verbenacleat.ctl;

import org.jspecify.annotations.NullMarked;
