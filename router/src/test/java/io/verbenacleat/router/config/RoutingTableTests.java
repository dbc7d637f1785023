package io.verbenacleat.router.config;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

public class RoutingTableTests {

	private static final CallerLimits LIMITS = new CallerLimits(16_384, 1 << 20, 3_000, 15_000);

	private final RoutingTable table = new RoutingTable(7,
			List.of(route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")), List.of(),
			List.of(new Workspace("w", List.of("k1", "k2"), 1, 100)), LIMITS);

	@Test
	public void theLongestPrefixOfTheHostWins() {
		assertEquals(this.table.findRoute("h.example", "/a/b/c").orElseThrow().name(), "long");
		assertEquals(this.table.findRoute("h.example", "/a/x").orElseThrow().name(), "short");
	}

	@Test
	public void theQueryIsNotPartOfThePath() {
		assertTrue(this.table.findRoute("h.example", "/x?/a/").isEmpty());
		assertEquals(this.table.findRoute("h.example", "/c/?q=/a/b/").orElseThrow().name(), "other");
	}

	@Test
	public void hostsAreComparedWithoutPortAndCase() {
		assertTrue(this.table.findRoute("H.Example:8080", "/a/x").isPresent());
		assertTrue(this.table.findRoute("i.example", "/a/x").isEmpty());
	}

	@Test
	public void keysAreMappedToTheirWorkspace() {
		assertEquals(this.table.findWorkspaceByKey("k2"), this.table.findWorkspaceByKey("k1"));
		assertNull(this.table.findWorkspaceByKey("k3"));
		assertTrue(this.table.requiresKeys());
	}

	@Test
	public void keysAreNotRequiredWithoutWorkspaces() {
		assertFalse(new RoutingTable(1, List.of(), List.of(), List.of(), LIMITS).requiresKeys());
	}

	@Test
	public void targetsAreSelectedByWeight() {
		Route split = Route.builder("s", "h", "/").target("a", 90).target("b", 10).target("c", 0).build();
		assertEquals(split.selectService(0), "a");
		assertEquals(split.selectService(0.899), "a");
		assertEquals(split.selectService(0.9), "b");
		assertEquals(split.selectService(0.9999), "b");
	}

	private static Route route(String name, String prefix) {
		return Route.builder(name, "h.example", prefix).target("s", 1).build();
	}

}
