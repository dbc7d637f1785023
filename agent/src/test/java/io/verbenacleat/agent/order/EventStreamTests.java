package io.verbenacleat.agent.order;

import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.verbenacleat.proto.v1.ExecuteEvent;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against an agent that reads from the backend server while the gateway does not
 * read, and against parts that are left out.
 */
public class EventStreamTests {

	@Test
	public void sendsAChunkOnlyWhenTheGatewayReads() throws InterruptedException {
		FakeCall observer = new FakeCall();
		EventStream stream = new EventStream(observer, observer.closed::countDown);
		OrderRun run = new OrderRun(new ActiveOrder(TestOrders.order("g", "a", 1).build(), 0), stream);
		Thread worker = new Thread(() -> run.chatChunk(ByteString.copyFromUtf8("{}")));
		worker.start();
		assertTrue(observer.asked.await(20, TimeUnit.SECONDS));
		observer.setReady();
		worker.join(20_000);
		assertFalse(worker.isAlive());
		assertEquals(observer.events.size(), 1);
		assertEquals(observer.sentUnready, 0);
	}

	@Test
	public void endsTheStreamOfAGatewayThatDoesNotRead() {
		FakeCall observer = new FakeCall();
		EventStream stream = new EventStream(observer, observer.closed::countDown);
		OrderRun run = new OrderRun(new ActiveOrder(TestOrders.order("g", "a", 1).build(), 0), stream);
		stream.stopWaiting();
		run.chatChunk(ByteString.copyFromUtf8("{}"));
		stream.send(ExecuteEvent.newBuilder());
		assertEquals(observer.events.size(), 0);
		assertTrue(observer.failed);
	}

}
