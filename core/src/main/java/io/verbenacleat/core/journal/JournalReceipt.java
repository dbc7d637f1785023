package io.verbenacleat.core.journal;

import io.verbenacleat.proto.v1.Receipt;

/**
 * The bill of one request as it stands in the table service. Immutable.
 *
 * @param requestId the request
 * @param account the account that pays
 * @param callerId the caller
 * @param holder the holder incarnation on whose grant it ran
 * @param agent the agent incarnation that ran it
 * @param backendServer the backend server
 * @param target the model or service
 * @param promptTokens tokens of the prompt
 * @param answerTokens tokens of the answer
 * @param billedTokens tokens billed
 * @param heldTokens tokens of unknown fate
 * @param status how the request ended
 * @param startedAtMs start, in milliseconds since the epoch
 * @param finishedAtMs end, in milliseconds since the epoch
 */
public record JournalReceipt(String requestId, String account, String callerId, String holder, String agent,
		String backendServer, String target, long promptTokens, long answerTokens, long billedTokens, long heldTokens,
		String status, long startedAtMs, long finishedAtMs) {

	/**
	 * Returns the stored form of a receipt message.
	 * @param receipt the message
	 * @return the stored form
	 */
	public static JournalReceipt of(Receipt receipt) {
		return new JournalReceipt(receipt.getRequestId(), receipt.getAccount(), receipt.getCallerId(),
				receipt.getHolderIncarnation(), receipt.getOrderId().getAgentIncarnation(), receipt.getBackendServer(),
				receipt.getTarget(), receipt.getPromptTokens(), receipt.getAnswerTokens(), receipt.getBilledTokens(),
				receipt.getHeldTokens(), receipt.getStatus().name(), receipt.getStartedAtMs(),
				receipt.getFinishedAtMs());
	}

}
