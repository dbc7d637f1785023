package io.verbenacleat.core.member;

import java.time.Clock;
import java.time.Duration;

import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.platform.BlockingTableStore;
import io.verbenacleat.core.platform.InMemoryTableStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against drains that no agent learns of, because the topic was not raised.
 */
public class DrainAdminTests {

	private final InMemoryTableStore table = new InMemoryTableStore();

	private final BlockingTableStore store = new BlockingTableStore(this.table, Duration.ofSeconds(10));

	private final DrainAdmin admin = new DrainAdmin(this.store, Clock.systemUTC());

	@Test
	public void eachChangeRaisesTheTopicOnce() throws Exception {
		assertFalse(this.admin.setDraining("engine-1", false, "ana").draining());
		assertFalse(this.store.read(Head.KEY).exists());
		this.table.loseNextAnswers(1);
		assertTrue(this.admin.setDraining("engine-1", true, "ana").draining());
		assertEquals(this.admin.setDraining("engine-1", true, "ben").by(), "ana");
		assertTrue(this.admin.read("engine-1").orElseThrow().draining());
		assertEquals(this.admin.list().keySet().toString(), "[engine-1]");
		assertFalse(this.admin.setDraining("engine-1", false, "ben").draining());
		assertEquals(Json.read(this.store.read(Head.KEY).json(), Head.class).version(Head.DRAIN), 2);
	}

}
