/**
 * The software versions at which streams were begun, so that they go on at these only.
 */
@NullMarked
package io.verbenacleat.router.stream;

import org.jspecify.annotations.NullMarked;
