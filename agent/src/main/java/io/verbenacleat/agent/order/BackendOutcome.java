package io.verbenacleat.agent.order;

import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import org.jspecify.annotations.Nullable;

/**
 * Outcome of a call to the backend server. Immutable.
 *
 * @param refusal the reason when the backend server has not run the order, in which case
 * it is safe to run it elsewhere; {@code null} when it may have been run
 * @param status the status for the receipt
 * @param promptTokens the tokens of the prompt
 * @param answerTokens the tokens of the answer
 * @param billedTokens the tokens to bill
 * @param heldTokens the reserved tokens that stay held because their use is unknown
 * @param failureCode the failure code when the status is FAILED, otherwise empty
 * @param failureDetail a description of the failure, otherwise empty
 */
public record BackendOutcome(@Nullable RefusalReason refusal, ReceiptStatus status, long promptTokens,
		long answerTokens, long billedTokens, long heldTokens, String failureCode, String failureDetail) {

	/**
	 * Returns the outcome of an order that the backend server has not run.
	 * @param reason the reason for the refusal
	 * @param detail a description of the reason
	 * @return the outcome
	 */
	public static BackendOutcome notRun(RefusalReason reason, String detail) {
		return new BackendOutcome(reason, ReceiptStatus.FAILED, 0, 0, 0, 0, "not_run", detail);
	}

	/**
	 * Returns the outcome of a call that was completed, cancelled or cut.
	 * @param status the status, not FAILED
	 * @return an outcome that bills nothing
	 */
	public static BackendOutcome ended(ReceiptStatus status) {
		return new BackendOutcome(null, status, 0, 0, 0, 0, "", "");
	}

	/**
	 * Returns the outcome of a call that failed after the request may have been sent.
	 * @param code the failure code
	 * @param detail a description of the failure
	 * @return an outcome that bills nothing
	 */
	public static BackendOutcome failed(String code, String detail) {
		return new BackendOutcome(null, ReceiptStatus.FAILED, 0, 0, 0, 0, code, detail);
	}

	/**
	 * Returns a copy with the given token counts.
	 * @param prompt the tokens of the prompt
	 * @param answer the tokens of the answer
	 * @return the changed copy
	 */
	public BackendOutcome withTokens(long prompt, long answer) {
		return new BackendOutcome(this.refusal, this.status, prompt, answer, this.billedTokens, this.heldTokens,
				this.failureCode, this.failureDetail);
	}

	/**
	 * Returns a copy with the given billed and held tokens.
	 * @param billed the tokens to bill
	 * @param held the tokens whose use is unknown
	 * @return the changed copy
	 */
	public BackendOutcome withBill(long billed, long held) {
		return new BackendOutcome(this.refusal, this.status, this.promptTokens, this.answerTokens, billed, held,
				this.failureCode, this.failureDetail);
	}

}
