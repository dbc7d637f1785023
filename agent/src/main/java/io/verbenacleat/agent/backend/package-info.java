/**
 * HTTP client for backend servers, and the probe of their reachability.
 */
@NullMarked
package io.verbenacleat.agent.backend;

import org.jspecify.annotations.NullMarked;
