/**
 * The experiment on the selection of backend servers. It compares routing policies in
 * front of fake engines with prefix caches, in virtual time.
 */
@NullMarked
package io.verbenacleat.bench.routing;

import org.jspecify.annotations.NullMarked;
