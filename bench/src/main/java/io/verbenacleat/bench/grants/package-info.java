/**
 * The experiment on budget grants: schemes that divide a prepaid budget over holders are
 * compared on the same requests and faults.
 */
@NullMarked
package io.verbenacleat.bench.grants;

import org.jspecify.annotations.NullMarked;
