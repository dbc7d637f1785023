/**
 * Orders of gateways: admission, execution, tombstones and outcomes.
 */
@NullMarked
package io.verbenacleat.agent.order;

import org.jspecify.annotations.NullMarked;
