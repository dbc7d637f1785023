package io.verbenacleat.core.platform;

import java.net.InetSocketAddress;
import java.net.Proxy;

import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Response;

/**
 * Records whether the client has started to send a request, that is whether the server
 * may have received it, and on which kind of connection, and reports the start of the
 * response. Attached to the request as a tag. Safe for use by several threads.
 */
final class SendTracker {

	private final Runnable onResponseStart;

	private volatile boolean started;

	private volatile boolean connecting;

	SendTracker() {
		this(() -> {
		});
	}

	/**
	 * Creates a tracker.
	 * @param onResponseStart called when the head of the response has arrived
	 */
	SendTracker(Runnable onResponseStart) {
		this.onResponseStart = onResponseStart;
	}

	/**
	 * Returns whether the client has started to send the request.
	 * @return {@code false} only if the server cannot have received it
	 */
	boolean started() {
		return this.started;
	}

	/**
	 * Returns whether the request was sent on a connection of an earlier call.
	 * @return {@code false} if a connection was opened for the call, or none was used
	 */
	boolean usedKeptConnection() {
		return this.started && !this.connecting;
	}

	/**
	 * Returns whether a connection was opened for the call.
	 * @return {@code true} once the client has begun to open one
	 */
	boolean openedConnection() {
		return this.connecting;
	}

	/**
	 * Returns the listener that updates the tracker of a call.
	 * @param call the call
	 * @return the listener, {@link EventListener#NONE} if the request has no tracker
	 */
	static EventListener listenerFor(Call call) {
		SendTracker tracker = call.request().tag(SendTracker.class);
		return (tracker != null) ? new TrackingListener(tracker) : EventListener.NONE;
	}

	private static final class TrackingListener extends EventListener {

		private final SendTracker tracker;

		private TrackingListener(SendTracker tracker) {
			this.tracker = tracker;
		}

		@Override
		public void connectStart(Call call, InetSocketAddress address, Proxy proxy) {
			this.tracker.connecting = true;
		}

		@Override
		public void requestHeadersStart(Call call) {
			this.tracker.started = true;
		}

		@Override
		public void responseHeadersEnd(Call call, Response response) {
			this.tracker.onResponseStart.run();
		}

	}

}
