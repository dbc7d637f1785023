/**
 * The client that forwards the requests of orders to plain services.
 */
@NullMarked
package io.verbenacleat.agent.service;

import org.jspecify.annotations.NullMarked;
