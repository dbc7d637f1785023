package io.verbenacleat.router.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RequestNameTests {

	@Test
	public void eachFieldTellsRequestsApart() {
		Set<String> names = new TreeSet<>();
		names.add(RequestName.of("POST", "/a?b=1", "w", "p:1,q:2", bytes("body")));
		names.add(RequestName.of("PUT", "/a?b=1", "w", "p:1,q:2", bytes("body")));
		names.add(RequestName.of("POST", "/a?b=2", "w", "p:1,q:2", bytes("body")));
		names.add(RequestName.of("POST", "/a?b=1", "v", "p:1,q:2", bytes("body")));
		names.add(RequestName.of("POST", "/a?b=1", "w", "p:1,q:3", bytes("body")));
		names.add(RequestName.of("POST", "/a?b=1", "w", null, bytes("body")));
		names.add(RequestName.of("POST", "/a?b=1", "w", "p:1,q:2", bytes("bodies")));
		names.add(RequestName.of("POST", "/a?b=1", "w", "p:1,q:2"));
		assertEquals(names.size(), 8);
		names.forEach((name) -> assertTrue(PromptParts.isId(name) && RequestName.isName(name), name));
	}

	@Test
	public void theBodyMayArriveInPieces() {
		assertEquals(RequestName.of("POST", "/", "w", null, bytes("bo"), bytes("dy")),
				RequestName.of("POST", "/", "w", null, bytes("body")));
	}

	@Test
	public void aSharedPartIsNeverTakenForARequest() {
		String name = RequestName.of("POST", "/", "w", null);
		List<String> parts = PromptParts.shared(name + ":1,other:2,last:3");
		assertEquals(parts.size(), 2);
		parts.forEach((part) -> assertFalse(RequestName.isName(part), part));
	}

	private static ByteBuffer bytes(String text) {
		return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
	}

	// Guards against estimates that a malformed header of a caller spoils.
	@Test
	public void sharedTokensAreTheValidNumbersBeforeTheLastPart() {
		assertEquals(PromptParts.sharedTokens("sys:198,doc:6300,own:2890"), 6_498);
		assertEquals(PromptParts.sharedTokens("sys:-1,a,b:,c:9999999999999,d:2x,e:5,own:7"), 5);
		assertEquals(PromptParts.sharedTokens("own:7"), 0);
		assertEquals(PromptParts.sharedTokens(null), 0);
	}

}
