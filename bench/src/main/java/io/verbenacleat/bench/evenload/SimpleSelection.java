package io.verbenacleat.bench.evenload;

import java.util.List;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

import io.verbenacleat.router.balance.Candidate;
import io.verbenacleat.router.balance.RequestDescription;
import io.verbenacleat.router.balance.SelectionPolicy;
import io.verbenacleat.router.balance.ServerLoadModel;

/**
 * Known rules for selection from old information, without prompt affinity. All weigh the
 * load by the observed slowness of the server. Not safe for use by several threads.
 */
final class SimpleSelection implements SelectionPolicy {

	/** At this age of a report, two random servers are compared. */
	private static final double OLD_MS = 3_000;

	private final Rule rule;

	private final DoubleSupplier random;

	private final LongSupplier clock;

	SimpleSelection(Rule rule, DoubleSupplier random, LongSupplier clock) {
		this.rule = rule;
		this.random = random;
		this.clock = clock;
	}

	@Override
	public Candidate select(List<Candidate> candidates, RequestDescription request) {
		int choices = switch (this.rule) {
			case LAST_REPORT, ROTATION -> candidates.size();
			case TWO_CHOICES -> 2;
			case CHOICES_BY_AGE -> choicesByAge(candidates);
		};
		int offset = (int) (this.random.getAsDouble() * candidates.size());
		Candidate best = candidates.get(offset);
		double bestScore = Double.MAX_VALUE;
		for (int i = 0; i < choices; i++) {
			Candidate candidate = (choices == candidates.size()) ? candidates.get((offset + i) % choices)
					: candidates.get((int) (this.random.getAsDouble() * candidates.size()));
			double score = score(candidate);
			if (score < bestScore) {
				bestScore = score;
				best = candidate;
			}
		}
		return best;
	}

	private double score(Candidate candidate) {
		ServerLoadModel model = Objects.requireNonNull(candidate.model());
		double load = (this.rule == Rule.ROTATION) ? model.recentTokens(this.clock.getAsLong()) : candidate.load() + 1;
		return load * model.slowness();
	}

	// Fewer servers are compared the older the reports are.
	private int choicesByAge(List<Candidate> candidates) {
		Candidate any = candidates.get((int) (this.random.getAsDouble() * candidates.size()));
		double ageMs = Objects.requireNonNull(any.model()).reportAgeMs(this.clock.getAsLong());
		return (int) Math.max(2, candidates.size() * (1 - ageMs / OLD_MS));
	}

	/**
	 * The rules.
	 */
	enum Rule {

		/** The lowest load of all servers by the last report and the own sends since. */
		LAST_REPORT,

		/** The lower load of two random servers. */
		TWO_CHOICES,

		/** The lowest load of as many random servers as the age of a report allows. */
		CHOICES_BY_AGE,

		/** The fewest own tokens of late, in turns. */
		ROTATION

	}

}
