/**
 * Reading and writing JSON with one shared mapper.
 */
@NullMarked
package io.verbenacleat.core.json;

import org.jspecify.annotations.NullMarked;
