/**
 * Backend servers and the list of those that may be used.
 */
@NullMarked
package io.verbenacleat.router.server;

import org.jspecify.annotations.NullMarked;
