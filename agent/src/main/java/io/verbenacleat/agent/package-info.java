/**
 * Placeholder.
 */
@NullMarked
package io.verbenacleat.agent;

import org.jspecify.annotations.NullMarked;
