/**
 * Membership, configuration and agent status as an entry sees them.
 */
@NullMarked
package io.verbenacleat.entry.member;

import org.jspecify.annotations.NullMarked;
