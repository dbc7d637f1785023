/**
 * The experiment on even load from old reports. It runs the selection of the router in
 * front of simulated model servers, in virtual time.
 */
@NullMarked
package io.verbenacleat.bench.evenload;

import org.jspecify.annotations.NullMarked;
