package io.verbenacleat.agent.order;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;

/**
 * Prometheus metrics of the orders of an agent. Safe for use by several threads.
 */
public final class OrderMetrics {

	private final Counter refusals;

	private final Counter orders;

	private final Counter tokens;

	private final Gauge inProgress;

	private final Gauge waiting;

	/**
	 * Registers the metrics and initializes the refusal reasons and receipt statuses with
	 * 0.
	 * @param registry the registry
	 */
	public OrderMetrics(PrometheusRegistry registry) {
		this.refusals = Counter.builder()
			.name("verbena_agent_refusals_total")
			.help("Orders refused by reason")
			.labelNames("reason")
			.register(registry);
		this.orders = Counter.builder()
			.name("verbena_agent_orders_total")
			.help("Orders that ended by status of their receipt")
			.labelNames("status")
			.register(registry);
		this.tokens = Counter.builder()
			.name("verbena_agent_tokens_total")
			.help("Tokens by kind")
			.labelNames("kind")
			.register(registry);
		this.inProgress = Gauge.builder()
			.name("verbena_agent_orders_in_progress")
			.help("Orders that run or wait")
			.register(registry);
		this.waiting = Gauge.builder()
			.name("verbena_agent_orders_waiting")
			.help("Orders that wait in the queue")
			.register(registry);
		initialize();
	}

	private void initialize() {
		for (RefusalReason reason : RefusalReason.values()) {
			if (reason != RefusalReason.UNRECOGNIZED && reason != RefusalReason.REFUSAL_REASON_UNSPECIFIED) {
				this.refusals.initLabelValues(reason.name());
			}
		}
		for (ReceiptStatus status : ReceiptStatus.values()) {
			if (status != ReceiptStatus.UNRECOGNIZED && status != ReceiptStatus.RECEIPT_STATUS_UNSPECIFIED
					&& status != ReceiptStatus.TAKEN_OVER) {
				this.orders.initLabelValues(status.name());
			}
		}
	}

	void recordRefusal(RefusalReason reason) {
		this.refusals.labelValues(reason.name()).inc();
	}

	void recordReceipt(Receipt receipt) {
		this.orders.labelValues(receipt.getStatus().name()).inc();
		this.tokens.labelValues("prompt").inc(receipt.getPromptTokens());
		this.tokens.labelValues("answer").inc(receipt.getAnswerTokens());
		this.tokens.labelValues("billed").inc(receipt.getBilledTokens());
		this.tokens.labelValues("held").inc(receipt.getHeldTokens());
	}

	void waiting(int count) {
		this.waiting.set(count);
	}

	void inProgress(int count) {
		this.inProgress.set(count);
	}

}
