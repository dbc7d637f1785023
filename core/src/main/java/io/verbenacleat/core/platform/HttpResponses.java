package io.verbenacleat.core.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.jspecify.annotations.Nullable;

/**
 * Turns answers to calls without doubtful effects into values or a
 * {@link PlatformException}.
 */
public final class HttpResponses {

	private HttpResponses() {
	}

	/**
	 * Converts an answer.
	 * @param <T> the type of the value
	 * @param call the call
	 * @param conversion reads the value
	 * @return the value; fails with a {@link PlatformException}
	 */
	public static <T> CompletableFuture<T> convert(CompletableFuture<HttpCalls.BufferedResponse> call, Conversion<T> conversion) {
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
						new PlatformProtocolException("The platform answered with an invalid body", ex));
			}
		});
		return result;
	}

	/**
	 * Converts the body of a 200 answer, and fails on any other status.
	 * @param <T> the type of the value
	 * @param call the call
	 * @param type the type of the value
	 * @return the value; fails with a {@link PlatformException}
	 */
	public static <T> CompletableFuture<T> readJson(CompletableFuture<HttpCalls.BufferedResponse> call, Class<T> type) {
		return convert(call, (answer) -> {
			if (answer.status() != 200) {
				throw answer.failure();
			}
			return answer.json(type);
		});
	}

	/**
	 * Returns the failure of a call for users of the client.
	 * @param failure what the future carried
	 * @return the failure
	 */
	public static PlatformException toPlatformException(Throwable failure) {
		Throwable cause = unwrap(failure);
		if (cause instanceof HttpCalls.CallFailedException failed) {
			return failed.failure();
		}
		return new PlatformProtocolException("The call to the platform failed", cause);
	}

	/**
	 * Returns whether the server may have seen the request of a failed call.
	 * @param failure what the future carried
	 * @return {@code false} only when it certainly has not
	 */
	public static boolean mayHaveBeenSent(Throwable failure) {
		return !(unwrap(failure) instanceof HttpCalls.CallFailedException failed) || failed.sent();
	}

	private static Throwable unwrap(Throwable failure) {
		@Nullable
		Throwable cause = failure.getCause();
		return (failure instanceof CompletionException && cause != null) ? cause : failure;
	}

	/**
	 * Reads a value from an answer.
	 *
	 * @param <T> the type of the value
	 */
	@FunctionalInterface
	public interface Conversion<T> {

		/**
		 * Reads the value.
		 * @param response the answer
		 * @return the value
		 * @throws PlatformException when the answer stands for a failure
		 */
		T convert(HttpCalls.BufferedResponse response) throws PlatformException;

	}

}
