/**
 * The configuration of the router: routes, services and workspaces.
 */
@NullMarked
package io.verbenacleat.router.config;

import org.jspecify.annotations.NullMarked;
