/**
 * The JSON mapper that all table rows use.
 */
@NullMarked
package io.verbenacleat.core.json;

import org.jspecify.annotations.NullMarked;
