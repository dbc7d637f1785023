/**
 * Membership of processes and drains of backend servers: their rows in the table store
 * and the operations on them.
 */
@NullMarked
package io.verbenacleat.core.member;

import org.jspecify.annotations.NullMarked;
