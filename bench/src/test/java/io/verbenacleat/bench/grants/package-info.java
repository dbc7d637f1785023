/**
 * Tests of the experiment on budget grants.
 */
@NullMarked
package io.verbenacleat.bench.grants;

import org.jspecify.annotations.NullMarked;
