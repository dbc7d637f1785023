/**
 * Prepaid tokens of workspaces.
 */
@NullMarked
package io.verbenacleat.router.budget;

import org.jspecify.annotations.NullMarked;
