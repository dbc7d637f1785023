/**
 * Routes, services and workspaces in force.
 */
@NullMarked
package io.verbenacleat.router.config;

import org.jspecify.annotations.NullMarked;
