package io.verbenacleat.core.platform;

import java.io.IOException;
import java.lang.reflect.Field;
import java.util.regex.Pattern;

import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Response;
import okhttp3.internal.connection.RealConnection;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;

/**
 * Keeps bytes that belong to no call from becoming part of the response to the next call
 * on a kept connection. A call that finds such bytes before it is sent goes on another
 * connection. A head that is spliced from two fails the call. Closes the connection in
 * both cases. Stateless.
 */
final class ResponseGuard {

	/** The part of a status line that precedes the reason phrase. */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1[.][01] [0-9]{3}");

	private static final String VERSION_PREFIX = "HTTP/1.";

	// Bytes that were read with the previous response wait here. OkHttp gives no access,
	// and its own health check takes them for a sign of health.
	private static final Field SOURCE = sourceField();

	private ResponseGuard() {
	}

	/**
	 * Adds the guard to a client.
	 * @param builder the builder of the client
	 * @return the builder
	 */
	static OkHttpClient.Builder addTo(OkHttpClient.Builder builder) {
		return builder.addInterceptor(ResponseGuard::send).addNetworkInterceptor(ResponseGuard::exchange);
	}

	// Ends: each repetition closes a kept connection.
	private static Response send(Interceptor.Chain chain) throws IOException {
		while (true) {
			try {
				return chain.proceed(chain.request());
			}
			catch (SurplusBytesException ex) {
				// Nothing was sent.
				continue;
			}
		}
	}

	private static Response exchange(Interceptor.Chain chain) throws IOException {
		Connection connection = chain.connection();
		SendTracker tracker = chain.request().tag(SendTracker.class);
		boolean kept = tracker != null && !tracker.openedConnection();
		if (connection != null && kept && hasUnreadBytes(connection)) {
			connection.socket().close();
			throw new SurplusBytesException();
		}
		Response response = chain.proceed(chain.request());
		if (isSpliced(response)) {
			if (connection != null) {
				connection.socket().close();
			}
			response.close();
			throw new IOException("The head of the response is spliced from two");
		}
		return response;
	}

	// Over HTTP/2 such bytes are part of the protocol.
	private static boolean hasUnreadBytes(Connection connection) throws IOException {
		if (connection.protocol() != Protocol.HTTP_1_1 && connection.protocol() != Protocol.HTTP_1_0) {
			return false;
		}
		return bufferedBytes(connection) > 0 || connection.socket().getInputStream().available() > 0;
	}

	private static long bufferedBytes(Connection connection) {
		try {
			BufferedSource source = (BufferedSource) SOURCE.get(connection);
			return (source != null) ? source.getBuffer().size() : 0;
		}
		catch (IllegalAccessException ex) {
			throw new IllegalStateException(ex);
		}
	}

	// A field name is no token when a cut line continues with a status line.
	private static boolean isSpliced(Response response) {
		if (containsStatusLine(response.message())) {
			return true;
		}
		for (int i = 0; i < response.headers().size(); i++) {
			if (containsStatusLine(response.headers().name(i)) || containsStatusLine(response.headers().value(i))) {
				return true;
			}
		}
		return false;
	}

	private static boolean containsStatusLine(@Nullable String text) {
		return text != null && text.contains(VERSION_PREFIX) && STATUS_LINE.matcher(text).find();
	}

	private static Field sourceField() {
		try {
			Field field = RealConnection.class.getDeclaredField("source");
			field.setAccessible(true);
			return field;
		}
		catch (NoSuchFieldException ex) {
			throw new ExceptionInInitializerError(ex);
		}
	}

	/**
	 * A call that was not sent, as its connection holds bytes that belong to no call.
	 */
	private static final class SurplusBytesException extends IOException {

		private static final long serialVersionUID = 1L;

		private SurplusBytesException() {
			super("The connection holds bytes that belong to no call");
		}

	}

}
