/**
 * Retries of requests at another backend server.
 */
@NullMarked
package io.verbenacleat.router.repeat;

import org.jspecify.annotations.NullMarked;
