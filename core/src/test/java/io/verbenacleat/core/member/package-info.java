/**
 * Tests of registration and drains.
 */
@NullMarked
package io.verbenacleat.core.member;

import org.jspecify.annotations.NullMarked;
