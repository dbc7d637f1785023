/**
 * Identities of process runs.
 */
@NullMarked
package io.verbenacleat.core.id;

import org.jspecify.annotations.NullMarked;
