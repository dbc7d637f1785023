/**
 * Tests of the program that runs experiments.
 */
@NullMarked
package io.verbenacleat.bench;

import org.jspecify.annotations.NullMarked;
