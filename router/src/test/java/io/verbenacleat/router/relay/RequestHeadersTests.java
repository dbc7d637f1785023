package io.verbenacleat.router.relay;

import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

public class RequestHeadersTests {

	static final HeaderNames NAMES = new HeaderNames("Test-Id", "Test-Deadline", "Test-Key", "Test-Workspace",
			"Test-Target", "Test-Not-Run", "Test-Prefix", "Test-Tokens", "Last-Event-Id", "Test-Resumes",
			"Test-Priority", "Test-Leaving", "Test-Limit", "Test-Warm-Up", Set.of("test-reserved"));

	@Test
	public void connectionAndRouterHeadersAreNotForwarded() {
		HttpHeaders from = new DefaultHttpHeaders();
		from.add("Connection", "close, X-Once").add("X-Once", "1").add("Keep-Alive", "5").add("Test-Key", "k");
		from.add("Test-Workspace", "forged").add("Test-Reserved", "1").add("Test-Target", "i").add("X-Kept", "a");
		from.add("X-Kept", "b").add("Test-Id", "7");
		HttpHeaders to = new DefaultHttpHeaders();
		new HeaderFilter(NAMES).copyRequest(from, to);
		assertEquals(Set.copyOf(to.names()), Set.of("X-Kept", "Test-Id"));
		assertEquals(to.getAll("X-Kept").size(), 2);
	}

	@Test
	public void tokensAreReadOnlyFromTwoNumbers() {
		assertEquals(TokenUsage.parse("1460, 80"), Optional.of(new TokenUsage(1460, 80)));
		for (String wrong : new String[] { "", "1", "1,", ",1", "-1,2", "1,2,3", "1,x", "9999999999999,1" }) {
			assertTrue(TokenUsage.parse(wrong).isEmpty(), wrong);
		}
		assertTrue(TokenUsage.parse(null).isEmpty());
	}

	@Test
	public void requestsWithTheSameSharedPartsHaveTheSameKey() {
		assertEquals(PromptPrefixKey.of("a:1,b:2,c:3"), PromptPrefixKey.of("a:1,b:2,d:9"));
		assertNotEquals(PromptPrefixKey.of("a:1,b:2,c:3"), PromptPrefixKey.of("a:1,e:2,c:3"));
		assertEquals(PromptPrefixKey.of("a:1"), 0);
		assertEquals(PromptPrefixKey.of(null), 0);
	}

	@Test
	public void idleConnectionsExpireBeforeTheServerClosesThem() {
		assertEquals(KeepAliveHeader.idleLimitMs("timeout=3, max=5"), 2_000);
		assertEquals(KeepAliveHeader.idleLimitMs("timeout=1"), 0);
		assertEquals(KeepAliveHeader.idleLimitMs("timeout=600"), ServerConnections.MAX_IDLE_MS);
		assertEquals(KeepAliveHeader.idleLimitMs(null), ServerConnections.MAX_IDLE_MS);
		assertFalse(KeepAliveHeader.idleLimitMs("none") < 0);
	}

}
