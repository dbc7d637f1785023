/**
 * Placeholder.
 */
@NullMarked
package io.verbenacleat.standins;

import org.jspecify.annotations.NullMarked;
