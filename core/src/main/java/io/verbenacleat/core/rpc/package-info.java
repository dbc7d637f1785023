/**
 * gRPC plumbing between the processes of the fleet: authentication and channels.
 */
@NullMarked
package io.verbenacleat.core.rpc;

import org.jspecify.annotations.NullMarked;
