/**
 * Structured logging of decisions.
 */
@NullMarked
package io.verbenacleat.router.log;

import org.jspecify.annotations.NullMarked;
