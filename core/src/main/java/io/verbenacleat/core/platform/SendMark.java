package io.verbenacleat.core.platform;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Records whether any byte of a request may have left this process. Attached to a request
 * as its tag. Safe for use by several threads.
 */
final class SendMark {

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
	static EventListener listener(Call call) {
		SendMark mark = call.request().tag(SendMark.class);
		return (mark != null) ? new MarkListener(mark) : EventListener.NONE;
	}

	private static final class MarkListener extends EventListener {

		private final SendMark mark;

		private MarkListener(SendMark mark) {
			this.mark = mark;
		}

		@Override
		public void requestHeadersStart(Call call) {
			this.mark.started = true;
		}

	}

}
