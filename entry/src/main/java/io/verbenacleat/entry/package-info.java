/**
 * The entry daemon.
 */
@NullMarked
package io.verbenacleat.entry;

import org.jspecify.annotations.NullMarked;
