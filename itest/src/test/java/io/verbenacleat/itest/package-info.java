/**
 * Failure tests that start the programs as processes, disturb them and the links between
 * them, and check the records of the stand-ins against the bills.
 */
@NullMarked
package io.verbenacleat.itest;

import org.jspecify.annotations.NullMarked;
