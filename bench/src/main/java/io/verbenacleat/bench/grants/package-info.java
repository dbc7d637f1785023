/**
 * The experiment on budget grants. It compares schemes that divide a prepaid budget among
 * holders, on the same requests and faults in simulated time.
 */
@NullMarked
package io.verbenacleat.bench.grants;

import org.jspecify.annotations.NullMarked;
