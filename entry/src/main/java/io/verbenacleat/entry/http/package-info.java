/**
 * The HTTP gateway for callers: admission, routing and validation of requests, and the
 * writing of responses.
 */
@NullMarked
package io.verbenacleat.entry.http;

import org.jspecify.annotations.NullMarked;
