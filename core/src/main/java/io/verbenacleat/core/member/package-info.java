/**
 * Processes of the fleet as they stand in the table service.
 */
@NullMarked
package io.verbenacleat.core.member;

import org.jspecify.annotations.NullMarked;
