package io.verbenacleat.core.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.jspecify.annotations.Nullable;

/**
 * Converts the results of {@link HttpCalls}: responses to values, and failures to
 * {@link PlatformException}. Stateless.
 */
public final class HttpResponses {

	private HttpResponses() {
	}

	/**
	 * Converts the response to a call.
	 * @param <T> the type of the value
	 * @param call the future of the call
	 * @param conversion converts the response
	 * @return a future of the value; fails with a {@link PlatformException}
	 */
	public static <T> CompletableFuture<T> convert(CompletableFuture<HttpCalls.BufferedResponse> call,
			Conversion<T> conversion) {
		CompletableFuture<T> result = new CompletableFuture<>();
		call.whenComplete((response, failure) -> {
			if (failure != null) {
				result.completeExceptionally(toPlatformException(failure));
				return;
			}
			try {
				result.complete(conversion.convert(response));
			}
			catch (PlatformException ex) {
				result.completeExceptionally(ex);
			}
			catch (RuntimeException ex) {
				result.completeExceptionally(
						new PlatformProtocolException("The response of the platform has an invalid body", ex));
			}
		});
		return result;
	}

	/**
	 * Parses the JSON body of a response with status 200; any other status is a failure.
	 * @param <T> the type of the value
	 * @param call the future of the call
	 * @param type the class of the value
	 * @return a future of the value; fails with a {@link PlatformException}
	 */
	public static <T> CompletableFuture<T> readJson(CompletableFuture<HttpCalls.BufferedResponse> call, Class<T> type) {
		return convert(call, (response) -> {
			if (response.status() != 200) {
				throw response.failure();
			}
			return response.json(type);
		});
	}

	/**
	 * Converts the failure of a call to the exception for users of the client.
	 * @param failure the exception of the future
	 * @return the exception to report
	 */
	public static PlatformException toPlatformException(Throwable failure) {
		Throwable cause = unwrap(failure);
		if (cause instanceof HttpCalls.CallFailedException failed) {
			return failed.failure();
		}
		return new PlatformProtocolException("The call to the platform failed", cause);
	}

	/**
	 * Returns whether the server may have received the request of a failed call.
	 * @param failure the exception of the future
	 * @return {@code false} only if the server cannot have received it
	 */
	public static boolean mayHaveBeenSent(Throwable failure) {
		return !(unwrap(failure) instanceof HttpCalls.CallFailedException failed) || failed.mayHaveBeenSent();
	}

	private static Throwable unwrap(Throwable failure) {
		@Nullable
		Throwable cause = failure.getCause();
		return (failure instanceof CompletionException && cause != null) ? cause : failure;
	}

	/**
	 * Converts a response to a value.
	 *
	 * @param <T> the type of the value
	 */
	@FunctionalInterface
	public interface Conversion<T> {

		/**
		 * Converts a response.
		 * @param response the response
		 * @return the value
		 * @throws PlatformException if the response is a failure
		 */
		T convert(HttpCalls.BufferedResponse response) throws PlatformException;

	}

}
