/**
 * The router daemon.
 */
@NullMarked
package io.verbenacleat.router;

import org.jspecify.annotations.NullMarked;
