package io.verbenacleat.entry.http;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import io.verbenacleat.entry.request.CallerRequest;
import io.verbenacleat.entry.request.RequestRunner;
import io.verbenacleat.entry.request.ResponseListener;

/**
 * A runner that records requests and responds to each with the script of the test. Safe
 * for use by several threads.
 */
final class ScriptedRunner implements RequestRunner {

	final List<CallerRequest> requests = new CopyOnWriteArrayList<>();

	final CountDownLatch callerGone = new CountDownLatch(1);

	volatile Consumer<ResponseListener> script = (listener) -> {
	};

	@Override
	public RunningRequest run(CallerRequest request, ResponseListener listener) {
		this.requests.add(request);
		this.script.accept(listener);
		return this.callerGone::countDown;
	}

	static ByteString chunk(String content) {
		return ByteString
			.copyFromUtf8("{\"id\":\"c1\",\"model\":\"m1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
					+ content + "\"},\"finish_reason\":null}]}");
	}

}
