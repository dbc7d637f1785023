package io.verbenacleat.entry.budget;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.proto.v1.ReserveResponse;

/**
 * A reservation that waits for a renewal of the grant. Used on the control thread only.
 */
final class Waiter {

	final Reservation reservation;

	final CompletableFuture<ReserveResponse> answer = new CompletableFuture<>();

	/** Whether the renewal in progress was decided with this reservation in view. */
	boolean planned;

	Cancellable deadline = () -> {
	};

	Waiter(Reservation reservation) {
		this.reservation = reservation;
	}

	void complete(ReserveResponse response) {
		this.deadline.cancel();
		this.answer.complete(response);
	}

}
