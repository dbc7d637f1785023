/**
 * Stand-ins for the platform, the model engine and the booking server, for tests and the
 * quickstart.
 */
@NullMarked
package io.verbenacleat.standins;

import org.jspecify.annotations.NullMarked;
