/**
 * Experiments with the decisions of the product, and load tools.
 */
@NullMarked
package io.verbenacleat.bench;

import org.jspecify.annotations.NullMarked;
