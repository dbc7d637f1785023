/**
 * Placeholder.
 */
@NullMarked
package io.verbenacleat.ctl;

import org.jspecify.annotations.NullMarked;
