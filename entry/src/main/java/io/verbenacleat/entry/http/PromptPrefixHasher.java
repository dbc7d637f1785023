package io.verbenacleat.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import io.verbenacleat.entry.routing.PrefixKey;

/**
 * Hashes the prefix of the prompt of a chat completion in blocks: the model or adapter
 * name, followed by the roles and texts of the messages. An incomplete last block is
 * ignored, unless it is the only one. Not safe for use by several threads.
 */
final class PromptPrefixHasher {

	/** About 128 tokens of text. */
	static final int BLOCK_BYTES = 512;

	/** The maximum number of blocks that the configuration allows. */
	static final int MAX_BLOCKS = 64;

	private final byte[] block = new byte[BLOCK_BYTES];

	private int blockLength;

	private final long[] hashes = new long[MAX_BLOCKS];

	private int blockCount;

	private PromptPrefixHasher() {
	}

	/**
	 * Returns the prefix key of a request.
	 * @param body the request body, a JSON object with an array of messages
	 * @return the key
	 */
	static PrefixKey prefixKey(JsonNode body) {
		PromptPrefixHasher hasher = new PromptPrefixHasher();
		hasher.add(body.path("model").asText());
		for (JsonNode message : body.path("messages")) {
			hasher.add(message.path("role").asText());
			hasher.addContent(message.path("content"));
			if (hasher.isFull()) {
				break;
			}
		}
		if (hasher.blockCount == 0) {
			hasher.endBlock();
		}
		return PrefixKey.of(Arrays.copyOf(hasher.hashes, hasher.blockCount));
	}

	private boolean isFull() {
		return this.blockCount == MAX_BLOCKS;
	}

	private void addContent(JsonNode content) {
		if (content.isTextual()) {
			add(content.textValue());
		}
		for (JsonNode part : content) {
			add(part.path("text").asText());
			add(part.path("image_url").path("url").asText());
		}
	}

	private void add(String text) {
		// Each character has at least one byte, so this many characters suffice.
		int remainingBytes = (MAX_BLOCKS - this.blockCount) * BLOCK_BYTES - this.blockLength;
		byte[] bytes = text.substring(0, Math.min(text.length(), remainingBytes)).getBytes(StandardCharsets.UTF_8);
		for (byte next : bytes) {
			addByte(next);
		}
		// A separator, so that moving text from one part to the next changes the hash.
		addByte((byte) 0);
	}

	private void addByte(byte next) {
		if (isFull()) {
			return;
		}
		this.block[this.blockLength] = next;
		this.blockLength++;
		if (this.blockLength == BLOCK_BYTES) {
			endBlock();
		}
	}

	private void endBlock() {
		long previous = (this.blockCount > 0) ? this.hashes[this.blockCount - 1] : 0;
		this.hashes[this.blockCount] = Hashing.murmur3_128()
			.newHasher()
			.putLong(previous)
			.putBytes(this.block, 0, this.blockLength)
			.hash()
			.asLong();
		this.blockCount++;
		this.blockLength = 0;
	}

}
