/**
 * The experiment on frequent keys: structures that find the most frequent keys of a
 * stream with decay over time are compared on the same streams.
 */
@NullMarked
package io.verbenacleat.bench.hotkeys;

import org.jspecify.annotations.NullMarked;
