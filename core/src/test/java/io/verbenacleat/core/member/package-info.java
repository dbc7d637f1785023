/**
 * Tests of members.
 */
@NullMarked
package io.verbenacleat.core.member;

import org.jspecify.annotations.NullMarked;
