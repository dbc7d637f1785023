package io.verbenacleat.entry.request;

import io.grpc.SynchronizationContext;
import io.verbenacleat.entry.dispatch.OrderListener;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.Finished;
import io.verbenacleat.proto.v1.Refused;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Forwards the events of an order to its {@link OrderExecution} in the synchronization
 * context of the request. Safe for use by several threads.
 */
final class SerialOrderListener implements OrderListener {

	private static final Logger logger = LogManager.getLogger(SerialOrderListener.class);

	private final SynchronizationContext context;

	private final OrderExecution order;

	SerialOrderListener(SynchronizationContext context, OrderExecution order) {
		this.context = context;
		this.order = order;
	}

	@Override
	public void onAccepted() {
		this.context.execute(this.order::onAccepted);
	}

	@Override
	public void onPart(ExecuteEvent event) {
		this.context.execute(() -> this.order.onPart(event));
	}

	@Override
	public void onRefused(Refused refused) {
		this.context.execute(() -> this.order.onRefused(refused));
	}

	@Override
	public void onFinished(Finished finished) {
		this.context.execute(() -> this.order.onFinished(finished));
	}

	@Override
	public void onStreamFailed(boolean unsent, String detail) {
		logger.debug("Order stream to agent {} failed: {}", this.order.agent().incarnation(), detail);
		this.context.execute(() -> this.order.onStreamFailed(unsent));
	}

}
