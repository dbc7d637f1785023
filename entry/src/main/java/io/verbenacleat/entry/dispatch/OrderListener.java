package io.verbenacleat.entry.dispatch;

import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.Finished;
import io.verbenacleat.proto.v1.Refused;

/**
 * Takes the events of one order. The methods are called one at a time; the next event
 * comes only after {@link OrderSender.SentOrder#requestMore}. Exactly one of
 * {@link #onRefused}, {@link #onFinished} and {@link #onBroken} comes last.
 */
public interface OrderListener {

	/**
	 * The agent has taken the order.
	 */
	void onAccepted();

	/**
	 * The next part of the answer, of the right number.
	 * @param event a chunk, head or body
	 */
	void onPart(ExecuteEvent event);

	/**
	 * The agent did not run the order and never will.
	 * @param refused the reason
	 */
	void onRefused(Refused refused);

	/**
	 * The answer is whole.
	 * @param finished the end, with the receipt
	 */
	void onFinished(Finished finished);

	/**
	 * The stream broke off, or parts were lost, repeated or out of order.
	 * @param unsent whether the order never left this process
	 * @param detail what was seen
	 */
	void onBroken(boolean unsent, String detail);

}
