/**
 * Tests of the experiment on frequent keys.
 */
@NullMarked
package io.verbenacleat.bench.hotkeys;

import org.jspecify.annotations.NullMarked;
