package io.verbenacleat.entry.budget;

import io.verbenacleat.proto.v1.ReserveResponse;

/**
 * The answer of a holder with its address. Immutable.
 *
 * @param holderAddress the gRPC address of the holder, host:port
 * @param response the answer, a grant or a refusal
 */
public record RoutedReservation(String holderAddress, ReserveResponse response) {
}
