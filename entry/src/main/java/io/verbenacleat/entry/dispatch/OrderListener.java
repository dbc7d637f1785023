package io.verbenacleat.entry.dispatch;

import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.Finished;
import io.verbenacleat.proto.v1.Refused;

/**
 * Receives the events of one order. The methods are called one at a time, and each next
 * event must be requested with {@link OrderSender.SentOrder#requestMore}. Exactly one of
 * {@link #onRefused}, {@link #onFinished} and {@link #onStreamFailed} is called last.
 */
public interface OrderListener {

	/**
	 * Called when the agent has accepted the order.
	 */
	void onAccepted();

	/**
	 * Called with the next part of the response, after its part number was verified.
	 * @param event a chat chunk, an HTTP head or a part of an HTTP body
	 */
	void onPart(ExecuteEvent event);

	/**
	 * Called when the agent refused the order. It did not run this copy and never will.
	 * @param refused the reason
	 */
	void onRefused(Refused refused);

	/**
	 * Called when the response is complete.
	 * @param finished the last event, with the receipt
	 */
	void onFinished(Finished finished);

	/**
	 * Called when the stream failed, or when parts were lost, repeated or out of order.
	 * @param unsent whether the order was certainly not sent by this process
	 * @param detail a description of the failure for the log
	 */
	void onStreamFailed(boolean unsent, String detail);

}
