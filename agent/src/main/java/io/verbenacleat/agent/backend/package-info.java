/**
 * HTTP calls to the backend server.
 */
@NullMarked
package io.verbenacleat.agent.backend;

import org.jspecify.annotations.NullMarked;
