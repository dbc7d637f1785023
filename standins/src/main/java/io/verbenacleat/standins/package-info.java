/**
 * HTTP servers that stand in for the platform, a model engine and a booking service in
 * tests and the quickstart.
 */
@NullMarked
package io.verbenacleat.standins;

import org.jspecify.annotations.NullMarked;
