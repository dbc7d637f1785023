/**
 * The experiment on the selection of backend servers: fake engines with prefix caches in
 * virtual time behind the routing policies.
 */
@NullMarked
package io.verbenacleat.bench.routing;

import org.jspecify.annotations.NullMarked;
