/**
 * Identifiers of process incarnations.
 */
@NullMarked
package io.verbenacleat.core.id;

import org.jspecify.annotations.NullMarked;
