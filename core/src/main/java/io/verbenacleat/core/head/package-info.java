/**
 * The row that tells readers which topics have changed.
 */
@NullMarked
package io.verbenacleat.core.head;

import org.jspecify.annotations.NullMarked;
