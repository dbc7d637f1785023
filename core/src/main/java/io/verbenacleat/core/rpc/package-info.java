/**
 * gRPC between the processes of the fleet: server, channels and authentication.
 */
@NullMarked
package io.verbenacleat.core.rpc;

import org.jspecify.annotations.NullMarked;
