package io.verbenacleat.core.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import io.verbenacleat.core.head.Head;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.platform.InMemoryTableStore;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/**
 * Guards against processes that get lost when many start at once, or twice when the
 * answer of the table store is lost.
 */
public class FleetRegistrarTests {

	private InMemoryTableStore store = new InMemoryTableStore();

	private FleetRegistrar registrar = registrar(1);

	@BeforeMethod
	public void reset() {
		this.store = new InMemoryTableStore();
		this.registrar = registrar(1);
	}

	@Test
	public void manyThatStartAtOnceAreAllRegistered() throws Exception {
		int count = 40;
		ExecutorService threads = Executors.newFixedThreadPool(8);
		try {
			List<Future<Long>> results = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				Member member = member("entry-" + i, null, 0);
				FleetRegistrar own = registrar(i);
				results.add(threads.submit(() -> own.register(member)));
			}
			for (Future<Long> result : results) {
				assertEquals(result.get(), Long.valueOf(1));
			}
		}
		catch (ExecutionException ex) {
			throw new AssertionError(ex.getCause());
		}
		finally {
			threads.shutdownNow();
		}
		assertEquals(members().members().size(), count);
		assertEquals(head().version("members/z1"), count);
	}

	@Test
	public void aLostAnswerDoesNotRegisterTwice() throws Exception {
		this.store.loseNextAnswers(1);
		this.registrar.register(member("entry-a", null, 0));
		assertEquals(members().members().size(), 1);
		assertEquals(head().version("members/z1"), 1);
	}

	@Test
	public void aLostAnswerRaisesTheFenceOnce() throws Exception {
		this.store.loseNextAnswers(1);
		assertEquals(this.registrar.acquireFencingToken("engine-1", "agent-a"), 1);
		assertEquals(this.registrar.acquireFencingToken("engine-1", "agent-b"), 2);
	}

	@Test
	public void aNewAgentReplacesTheOldOneOfItsServer() throws Exception {
		this.registrar.register(member("agent-a", "engine-1", 1));
		this.registrar.register(member("agent-b", "engine-1", 2));
		assertEquals(members().members().stream().map(Member::incarnation).toList(), List.of("agent-b"));
	}

	@Test
	public void deregisteringClosesTheProcess() throws Exception {
		Member member = member("agent-a", "engine-1", 1);
		this.registrar.register(member);
		this.registrar.deregister(member);
		assertEquals(members().members(), List.of());
		String json = this.store.read(ProcessRow.key("agent-a")).join().json();
		assertEquals(Json.read(json, ProcessRow.class).state(), ProcessRow.State.CLOSED);
	}

	@Test
	public void anOutageIsATypedFailure() {
		this.store.setAvailable(false);
		FleetRegistrar hasty = new FleetRegistrar(this.store, Duration.ofSeconds(5), new SplittableRandom(1), 2,
				(pauseMs) -> Thread.yield());
		assertThrows(RegistrationException.class, () -> hasty.register(member("entry-a", null, 0)));
	}

	private FleetRegistrar registrar(int seed) {
		return new FleetRegistrar(this.store, Duration.ofSeconds(5), new SplittableRandom(seed), 200,
				(pauseMs) -> Thread.yield());
	}

	private ZoneMembers members() throws JsonFormatException {
		return Json.read(this.store.read("members/z1").join().json(), ZoneMembers.class);
	}

	private Head head() throws JsonFormatException {
		return Json.read(this.store.read(Head.KEY).join().json(), Head.class);
	}

	private static Member member(String incarnation, @Nullable String server, long fence) {
		Member.Role role = (server != null) ? Member.Role.AGENT : Member.Role.ENTRY;
		return new Member(incarnation, role, "127.0.0.1:1", "127.0.0.1", "r1", "z1", "s1", server, fence, 0);
	}

}
