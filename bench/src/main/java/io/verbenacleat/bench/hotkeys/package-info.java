/**
 * The experiment on frequent keys. It compares structures that find the most frequent
 * keys of a stream with decay over time, on the same streams.
 */
@NullMarked
package io.verbenacleat.bench.hotkeys;

import org.jspecify.annotations.NullMarked;
