package io.verbenacleat.entry.budget;

import java.util.concurrent.CompletableFuture;

import io.verbenacleat.core.control.Cancellable;
import io.verbenacleat.proto.v1.ReserveResponse;

/**
 * A reservation that waits until the grant is renewed. Used on the control thread only.
 */
final class Waiter {

	final Reservation reservation;

	final CompletableFuture<ReserveResponse> answer = new CompletableFuture<>();

	/** Whether the renewal in progress was planned with this reservation included. */
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
