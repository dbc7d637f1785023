/**
 * The agent, which runs orders at one backend server, reports their receipts and controls
 * the model engine.
 */
@NullMarked
package io.verbenacleat.agent;

import org.jspecify.annotations.NullMarked;
