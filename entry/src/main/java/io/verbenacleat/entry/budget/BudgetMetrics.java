package io.verbenacleat.entry.budget;

import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.proto.v1.ReserveRefusal;

/**
 * The metrics of the budget holder. Safe for use by several threads.
 */
final class BudgetMetrics {

	private final PrometheusRegistry registry;

	private final Counter refusals;

	final Counter renewals;

	final Counter conflicts;

	final Counter unknownOutcomes;

	final Counter journalRows;

	final Counter receipts;

	final Counter unknownReceipts;

	final Counter overbilledReceipts;

	final Counter grantedTokens;

	final Counter returnedTokens;

	BudgetMetrics(PrometheusRegistry registry) {
		this.registry = registry;
		this.refusals = Counter.builder()
			.name("verbena_budget_refusals_total")
			.help("Refused reservations by reason")
			.labelNames("reason")
			.register(registry);
		this.renewals = counter("renewals", "Account row writes that took effect");
		this.conflicts = counter("conflicts", "Account row writes that met another version");
		this.unknownOutcomes = counter("unknown_outcomes", "Writes whose answer was lost");
		this.journalRows = counter("journal_rows", "Journal rows written");
		this.receipts = counter("receipts", "Receipts billed");
		this.unknownReceipts = counter("unknown_receipts", "Receipts billed without a reservation");
		this.overbilledReceipts = counter("overbilled_receipts", "Receipts with more tokens than reserved");
		this.grantedTokens = counter("granted_tokens", "Tokens added to grants");
		this.returnedTokens = counter("returned_tokens", "Tokens given back from grants");
	}

	void refused(ReserveRefusal reason) {
		this.refusals.labelValues(reason.name()).inc();
	}

	void gauge(String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name("verbena_budget_" + name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(this.registry);
	}

	private Counter counter(String name, String help) {
		return Counter.builder().name("verbena_budget_" + name + "_total").help(help).register(this.registry);
	}

}
