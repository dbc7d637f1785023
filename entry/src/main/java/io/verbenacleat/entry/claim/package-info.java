/**
 * Claims of requests that may not be repeated, as rows of the table store.
 */
@NullMarked
package io.verbenacleat.entry.claim;

import org.jspecify.annotations.NullMarked;
