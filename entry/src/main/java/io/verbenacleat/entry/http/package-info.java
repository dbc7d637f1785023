/**
 * The HTTP gateway for callers.
 */
@NullMarked
package io.verbenacleat.entry.http;

import org.jspecify.annotations.NullMarked;
