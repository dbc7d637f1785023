package io.verbenacleat.bench.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.google.common.hash.Hashing;
import io.verbenacleat.entry.routing.PrefixKey;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.NormalizedGaussianSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

/**
 * Generates requests of workspaces whose request rates follow a Zipf distribution. Each
 * workspace has a few long texts, such as manuals, with which its prompts begin. A part
 * of the requests continues an earlier conversation. Not safe for use by several threads.
 */
final class PromptGenerator {

	/**
	 * The number of tokens per block, both of the prefix key and of the engine's cache.
	 */
	static final int BLOCK_TOKENS = 128;

	/** The share of one zone: 780 workspaces in 6 zones. */
	private static final int WORKSPACES = 130;

	private static final int TEXTS_PER_WORKSPACE = 4;

	private static final int MIN_TEXT_TOKENS = 150;

	private static final int MAX_TEXT_TOKENS = 6_000;

	private static final int MIN_PROMPT_TOKENS = 200;

	private static final int MAX_PROMPT_TOKENS = 8_000;

	private static final int MEAN_ANSWER_TOKENS = 371;

	private static final double FOLLOW_UP_SHARE = 0.4;

	/** Callers read an answer before they continue the conversation. */
	private static final long MEAN_FOLLOW_UP_DELAY_US = 20_000_000;

	private final UniformRandomProvider random;

	private final DiscreteSampler workspaces;

	private final DiscreteSampler texts;

	private final ContinuousSampler intervals;

	private final ContinuousSampler addedPromptTokens;

	private final ContinuousSampler answerTokens;

	private final int[] textTokens = new int[WORKSPACES * TEXTS_PER_WORKSPACE];

	private final List<List<Conversation>> conversations = new ArrayList<>();

	private long nextContent = 1L << 32;

	PromptGenerator(long seed) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.workspaces = RejectionInversionZipfSampler.of(this.random, WORKSPACES, 1.0);
		this.texts = RejectionInversionZipfSampler.of(this.random, TEXTS_PER_WORKSPACE, 1.0);
		this.intervals = ZigguratSampler.Exponential.of(this.random);
		NormalizedGaussianSampler gaussian = ZigguratSampler.NormalizedGaussian.of(this.random);
		// The median is 250 tokens, the mean about 340.
		this.addedPromptTokens = LogNormalSampler.of(gaussian, Math.log(250), 0.8);
		// The mean of a log-normal distribution is exp(mu + sigma^2 / 2), here
		// MEAN_ANSWER_TOKENS.
		this.answerTokens = LogNormalSampler.of(gaussian, Math.log(MEAN_ANSWER_TOKENS) - 0.7 * 0.7 / 2, 0.7);
		double span = Math.log((double) MAX_TEXT_TOKENS / MIN_TEXT_TOKENS);
		for (int i = 0; i < this.textTokens.length; i++) {
			this.textTokens[i] = (int) (MIN_TEXT_TOKENS * Math.exp(span * this.random.nextDouble()));
		}
		for (int i = 0; i < WORKSPACES; i++) {
			this.conversations.add(new ArrayList<>());
		}
	}

	/**
	 * Generates requests with exponential intervals.
	 * @param perSecond the mean rate
	 * @param durationUs the length of the workload, in microseconds
	 * @param entries the number of entries; each request goes to a random one
	 * @return the requests in order of arrival
	 */
	List<PromptRequest> generate(double perSecond, long durationUs, int entries) {
		List<PromptRequest> requests = new ArrayList<>();
		long atUs = interval(perSecond);
		while (atUs < durationUs) {
			requests.add(request(atUs, this.random.nextInt(entries)));
			atUs += interval(perSecond);
		}
		return requests;
	}

	private long interval(double perSecond) {
		return (long) (this.intervals.sample() / perSecond * 1e6);
	}

	private PromptRequest request(long atUs, int entry) {
		int workspace = this.workspaces.sample() - 1;
		Conversation previous = takeFollowUp(this.conversations.get(workspace), atUs);
		int textIndex = workspace * TEXTS_PER_WORKSPACE + this.texts.sample() - 1;
		HashChain chain = (previous != null) ? previous.chain()
				: new HashChain(new long[0], 0, 0).append(textIndex, this.textTokens[textIndex]);
		int addedTokens = Math.max(MIN_PROMPT_TOKENS - chain.tokens(), (int) this.addedPromptTokens.sample());
		HashChain prompt = chain.append(this.nextContent,
				Math.min(Math.max(1, addedTokens), MAX_PROMPT_TOKENS - chain.tokens()));
		int answer = Math.max(1, (int) this.answerTokens.sample());
		HashChain conversation = prompt.append(this.nextContent + 1, answer);
		this.nextContent += 2;
		if (conversation.tokens() < MAX_PROMPT_TOKENS - MIN_PROMPT_TOKENS) {
			long readyUs = atUs + (long) (MEAN_FOLLOW_UP_DELAY_US * (0.5 + this.random.nextDouble()));
			this.conversations.get(workspace).add(new Conversation(conversation, readyUs));
		}
		return new PromptRequest(atUs, entry, PrefixKey.of(prompt.blocks()), prompt.tokens(),
				PrefixKey.of(conversation.blocks()), answer);
	}

	private @Nullable Conversation takeFollowUp(List<Conversation> open, long atUs) {
		if (this.random.nextDouble() >= FOLLOW_UP_SHARE || open.isEmpty()) {
			return null;
		}
		// The conversations are in the order of their requests, so the first ones are
		// ready first.
		int index = this.random.nextInt(Math.min(open.size(), 20));
		return (open.get(index).readyUs() <= atUs) ? open.remove(index) : null;
	}

	private record Conversation(HashChain chain, long readyUs) {
	}

	/**
	 * A text as the hashes of its whole blocks, each of which includes the hash of the
	 * block before. {@code partialBlock} represents the content of the last, partial
	 * block. Immutable.
	 */
	private record HashChain(long[] blocks, int tokens, long partialBlock) {

		private HashChain append(long content, int addedTokens) {
			int totalTokens = this.tokens + addedTokens;
			long[] all = Arrays.copyOf(this.blocks, totalTokens / BLOCK_TOKENS);
			long previousHash = (this.blocks.length > 0) ? this.blocks[this.blocks.length - 1] : 0;
			long partialContent = this.partialBlock;
			for (int i = this.blocks.length; i < all.length; i++) {
				previousHash = Hashing.murmur3_128()
					.newHasher()
					.putLong(previousHash)
					.putLong(partialContent)
					.putLong(content)
					.hash()
					.asLong();
				all[i] = previousHash;
				partialContent = 0;
			}
			long partial = (all.length > this.blocks.length) ? content : this.partialBlock * 31 + content;
			return new HashChain(all, totalTokens, partial);
		}

	}

}
