/**
 * Accounting of the prepaid tokens of workspaces, shared by all routers through the
 * store.
 */
@NullMarked
package io.verbenacleat.router.budget;

import org.jspecify.annotations.NullMarked;
