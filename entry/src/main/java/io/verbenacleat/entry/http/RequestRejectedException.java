package io.verbenacleat.entry.http;

import io.verbenacleat.entry.request.Refusal;
import io.verbenacleat.entry.request.RefusalCode;

/**
 * Thrown when the gateway refuses a request before it reserves any tokens.
 */
final class RequestRejectedException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient Refusal refusal;

	RequestRejectedException(RefusalCode code, String detail) {
		this(Refusal.notRun(code, detail));
	}

	RequestRejectedException(Refusal refusal) {
		super(refusal.detail());
		this.refusal = refusal;
	}

	Refusal refusal() {
		return this.refusal;
	}

}
