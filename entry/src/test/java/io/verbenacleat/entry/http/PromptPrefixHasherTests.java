package io.verbenacleat.entry.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.entry.routing.PrefixKey;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

/**
 * Guards against different hashes of equal prompt prefixes, and against equal hashes of
 * prompts with different models, roles or texts.
 */
public class PromptPrefixHasherTests {

	private static PrefixKey key(String model, String role, String text) {
		ObjectNode body = Json.mapper().createObjectNode();
		body.put("model", model).putArray("messages").addObject().put("role", role).put("content", text);
		return PromptPrefixHasher.prefixKey(body);
	}

	@Test
	public void equalPrefixesHaveEqualBlockHashes() {
		String manual = "m".repeat(2 * PromptPrefixHasher.BLOCK_BYTES);
		PrefixKey one = key("quotes", "system", manual + "a".repeat(1_000));
		PrefixKey other = key("quotes", "system", manual + "b".repeat(1_000));
		assertEquals(one.blockHash(1), other.blockHash(1));
		assertNotEquals(one.blockHash(2), other.blockHash(2));
		assertNotEquals(key("drafts", "system", manual).blockHash(0), one.blockHash(0));
		assertNotEquals(key("quotes", "user", manual).blockHash(0), one.blockHash(0));
	}

	@Test
	public void blockCountIsBoundedAndAShortPromptHasOneBlock() {
		assertEquals(key("quotes", "user", "hi").size(), 1);
		assertEquals(key("quotes", "user", "\u00e9".repeat(100_000)).size(), PromptPrefixHasher.MAX_BLOCKS);
	}

}
