/**
 * Clients of the platform services: table store, host list, object store and weight
 * store.
 */
@NullMarked
package io.verbenacleat.core.platform;

import org.jspecify.annotations.NullMarked;
