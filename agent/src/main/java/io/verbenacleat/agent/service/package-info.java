/**
 * The client of plain services.
 */
@NullMarked
package io.verbenacleat.agent.service;

import org.jspecify.annotations.NullMarked;
