/**
 * Client of model engines that serve chat completions.
 */
@NullMarked
package io.verbenacleat.agent.engine;

import org.jspecify.annotations.NullMarked;
