/**
 * Admission, execution and resolution of the orders that gateways send to an agent.
 */
@NullMarked
package io.verbenacleat.agent.order;

import org.jspecify.annotations.NullMarked;
