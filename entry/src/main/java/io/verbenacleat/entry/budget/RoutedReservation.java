package io.verbenacleat.entry.budget;

import io.verbenacleat.proto.v1.ReserveResponse;

/**
 * The response of a holder to a reservation, with the address of the holder. Immutable.
 *
 * @param holderAddress the gRPC address of the holder, host:port
 * @param response the response, granted or refused
 */
public record RoutedReservation(String holderAddress, ReserveResponse response) {
}
