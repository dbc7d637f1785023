/**
 * The client of model engines.
 */
@NullMarked
package io.verbenacleat.agent.engine;

import org.jspecify.annotations.NullMarked;
