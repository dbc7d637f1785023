package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import org.jspecify.annotations.Nullable;

/**
 * How a call to the backend server ended. Immutable.
 *
 * @param refusal why the order was not run, which proves that nothing was sent;
 * {@code null} when the request or a part of it may have been sent
 * @param status the status for the receipt
 * @param promptTokens tokens of the prompt
 * @param answerTokens tokens of the answer
 * @param billedTokens tokens to bill
 * @param heldTokens tokens whose use is unknown
 * @param failureCode a code when the status is FAILED, else empty
 * @param failureDetail the failure in words, else empty
 */
public record BackendOutcome(@Nullable RefusalReason refusal, ReceiptStatus status, long promptTokens,
		long answerTokens, long billedTokens, long heldTokens, String failureCode, String failureDetail) {

	/**
	 * Returns the outcome of a call of which nothing was sent.
	 * @param reason the reason
	 * @param detail the reason in words
	 * @return the outcome
	 */
	public static BackendOutcome notRun(RefusalReason reason, String detail) {
		return new BackendOutcome(reason, ReceiptStatus.FAILED, 0, 0, 0, 0, "not_run", detail);
	}

	/**
	 * Returns the outcome of a call that ended without a failure.
	 * @param status the status, not FAILED
	 * @return an outcome that bills nothing
	 */
	public static BackendOutcome ended(ReceiptStatus status) {
		return new BackendOutcome(null, status, 0, 0, 0, 0, "", "");
	}

	/**
	 * Returns the outcome of a call that failed after it was sent.
	 * @param code the code of the failure
	 * @param detail the failure in words
	 * @return an outcome that bills nothing
	 */
	public static BackendOutcome failed(String code, String detail) {
		return new BackendOutcome(null, ReceiptStatus.FAILED, 0, 0, 0, 0, code, detail);
	}

	/**
	 * Returns this outcome with token counts.
	 * @param prompt tokens of the prompt
	 * @param answer tokens of the answer
	 * @return the changed copy
	 */
	public BackendOutcome withTokens(long prompt, long answer) {
		return new BackendOutcome(this.refusal, this.status, prompt, answer, this.billedTokens, this.heldTokens,
				this.failureCode, this.failureDetail);
	}

	/**
	 * Returns this outcome with a bill.
	 * @param billed tokens to bill
	 * @param held tokens whose use is unknown
	 * @return the changed copy
	 */
	public BackendOutcome withBill(long billed, long held) {
		return new BackendOutcome(this.refusal, this.status, this.promptTokens, this.answerTokens, billed, held,
				this.failureCode, this.failureDetail);
	}

}
