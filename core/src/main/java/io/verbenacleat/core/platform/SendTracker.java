package io.verbenacleat.core.platform;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Records whether any byte of a request may have left this process. Attached to a request
 * as its tag. Safe for use by several threads.
 */
final class SendTracker {

	private volatile boolean started;

	/**
	 * Returns whether sending was started.
	 * @return {@code false} only when the server cannot have seen the request
	 */
	boolean started() {
		return this.started;
	}

	/**
	 * Returns the listener that sets the mark of a call.
	 * @param call the call
	 * @return the listener
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
		public void requestHeadersStart(Call call) {
			this.tracker.started = true;
		}

	}

}
