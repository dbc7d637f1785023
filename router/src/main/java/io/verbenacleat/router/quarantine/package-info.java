/**
 * Parts of prompts that crash backend servers: the evidence against them, and the
 * decision which requests are refused.
 */
@NullMarked
package io.verbenacleat.router.quarantine;

import org.jspecify.annotations.NullMarked;
