/**
 * Structured log lines.
 */
@NullMarked
package io.verbenacleat.router.log;

import org.jspecify.annotations.NullMarked;
