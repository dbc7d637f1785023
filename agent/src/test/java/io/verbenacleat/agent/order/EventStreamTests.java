package io.verbenacleat.agent.order;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.grpc.stub.ServerCallStreamObserver;
import io.verbenacleat.proto.v1.ExecuteEvent;
import org.jspecify.annotations.Nullable;
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
		Observer observer = new Observer();
		EventStream stream = new EventStream(observer, observer.closed::countDown);
		OrderRun run = new OrderRun(new RunningOrder(TestOrders.order("g", "a", 1).build(), 0), stream);
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
		Observer observer = new Observer();
		EventStream stream = new EventStream(observer, observer.closed::countDown);
		OrderRun run = new OrderRun(new RunningOrder(TestOrders.order("g", "a", 1).build(), 0), stream);
		stream.stopWaiting();
		run.chatChunk(ByteString.copyFromUtf8("{}"));
		stream.send(ExecuteEvent.newBuilder());
		assertEquals(observer.events.size(), 0);
		assertTrue(observer.failed);
	}

	/** A call whose gateway reads when the test says so. */
	private static final class Observer extends ServerCallStreamObserver<ExecuteEvent> {

		private final CountDownLatch asked = new CountDownLatch(1);

		private final CountDownLatch closed = new CountDownLatch(1);

		private final List<ExecuteEvent> events = new ArrayList<>();

		private volatile boolean ready;

		private int sentUnready;

		private boolean failed;

		private @Nullable Runnable readyHandler;

		private void setReady() {
			this.ready = true;
			if (this.readyHandler != null) {
				this.readyHandler.run();
			}
		}

		@Override
		public boolean isReady() {
			this.asked.countDown();
			return this.ready;
		}

		@Override
		public void setOnReadyHandler(Runnable handler) {
			this.readyHandler = handler;
		}

		@Override
		public void onNext(ExecuteEvent event) {
			this.events.add(event);
			this.sentUnready += (this.ready) ? 0 : 1;
		}

		@Override
		public void onError(Throwable failure) {
			this.failed = true;
		}

		@Override
		public void onCompleted() {
		}

		@Override
		public boolean isCancelled() {
			return false;
		}

		@Override
		public void setOnCancelHandler(Runnable handler) {
		}

		@Override
		public void setOnCloseHandler(Runnable handler) {
		}

		@Override
		public void setCompression(String compression) {
		}

		@Override
		public void disableAutoInboundFlowControl() {
		}

		@Override
		public void request(int count) {
		}

		@Override
		public void setMessageCompression(boolean enable) {
		}

	}

}
