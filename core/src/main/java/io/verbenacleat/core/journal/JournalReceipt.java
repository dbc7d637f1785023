package io.verbenacleat.core.journal;

import io.verbenacleat.proto.v1.Receipt;

/**
 * The receipt of one request as stored in the table service. Immutable.
 *
 * @param requestId the identifier of the request
 * @param account the account that pays
 * @param callerId the identifier of the caller
 * @param holder the incarnation of the holder whose grant pays for the request
 * @param agent the incarnation of the agent that executed the request
 * @param backendServer the name of the backend server
 * @param target the model or service
 * @param promptTokens tokens of the prompt
 * @param answerTokens tokens of the answer
 * @param billedTokens tokens billed
 * @param heldTokens tokens that may or may not have been spent, until an operator settles
 * them
 * @param status the name of the {@code ReceiptStatus} of the receipt
 * @param startedAtMs start of the request, in milliseconds since the epoch
 * @param finishedAtMs end of the request, in milliseconds since the epoch
 */
public record JournalReceipt(String requestId, String account, String callerId, String holder, String agent,
		String backendServer, String target, long promptTokens, long answerTokens, long billedTokens, long heldTokens,
		String status, long startedAtMs, long finishedAtMs) {

	/**
	 * Converts a receipt message to its stored form.
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
