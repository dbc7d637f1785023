package io.verbenacleat.core.platform;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

/**
 * Accesses the {@link TableStore} over HTTP. Sends a transaction at most once per call.
 * Created by {@link PlatformClient}. Safe for use by several threads.
 */
public final class HttpTableStore implements TableStore {

	private final HttpCalls calls;

	HttpTableStore(HttpCalls calls) {
		this.calls = calls;
	}

	@Override
	public CompletableFuture<List<Row>> read(List<String> keys) {
		return HttpResponses.convert(this.calls.post("v1/tables/read", new ReadRequest(keys)), (response) -> {
			List<Row> rows = rows(response);
			if (!rows.stream().map(Row::key).toList().equals(keys)) {
				throw new PlatformProtocolException("The platform returned other rows than requested", null);
			}
			return rows;
		});
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		return HttpResponses.convert(this.calls.post("v1/tables/scan", new ScanRequest(prefix, after, limit)),
				HttpTableStore::rows);
	}

	@Override
	public CompletableFuture<WriteOutcome> transact(Transaction transaction) {
		return this.calls.post("v1/tables/transact", transaction)
			.handle((response, failure) -> (failure != null) ? outcome(failure) : outcome(response));
	}

	private static List<Row> rows(HttpCalls.BufferedResponse response) throws PlatformException {
		if (response.status() != 200) {
			throw response.failure();
		}
		@Nullable
		List<Row> rows = response.json(RowsResponse.class).rows();
		if (rows == null) {
			throw new PlatformProtocolException("The response of the platform has no rows", null);
		}
		return List.copyOf(rows);
	}

	private static WriteOutcome outcome(Throwable failure) {
		PlatformException cause = HttpResponses.toPlatformException(failure);
		return HttpResponses.mayHaveBeenSent(failure) ? new WriteOutcome.Unknown(cause)
				: new WriteOutcome.NotApplied(cause);
	}

	private static WriteOutcome outcome(HttpCalls.BufferedResponse response) {
		try {
			return switch (response.status()) {
				case 200 -> new WriteOutcome.Applied(versions(response));
				case 409 -> new WriteOutcome.Conflict(versions(response));
				case 400, 401 -> new WriteOutcome.NotApplied(response.failure());
				case 503 -> unavailableOutcome(response);
				default -> new WriteOutcome.Unknown(response.failure());
			};
		}
		catch (PlatformProtocolException ex) {
			return new WriteOutcome.Unknown(ex);
		}
	}

	// Only the table service sets the field. A 503 without it may come from a proxy, so
	// the transaction may have taken effect.
	private static WriteOutcome unavailableOutcome(HttpCalls.BufferedResponse response)
			throws PlatformProtocolException {
		boolean rejected = Boolean.FALSE.equals(response.json(RefusalResponse.class).applied());
		return rejected ? new WriteOutcome.NotApplied(response.failure())
				: new WriteOutcome.Unknown(response.failure());
	}

	private static Map<String, Long> versions(HttpCalls.BufferedResponse response) throws PlatformProtocolException {
		@Nullable
		Map<String, Long> versions = response.json(VersionsResponse.class).versions();
		if (versions == null || versions.containsValue(null)) {
			throw new PlatformProtocolException("The response of the platform has no versions", null);
		}
		return versions;
	}

	/**
	 * The request body of a read.
	 *
	 * @param keys the keys
	 */
	record ReadRequest(List<String> keys) {
	}

	/**
	 * The request body of a scan.
	 *
	 * @param prefix the prefix
	 * @param after the exclusive start key
	 * @param limit the maximum number of rows
	 */
	record ScanRequest(String prefix, String after, int limit) {
	}

	/**
	 * The response body of a read or a scan.
	 *
	 * @param rows the rows
	 */
	record RowsResponse(@Nullable List<Row> rows) {
	}

	/**
	 * The response body of a transaction that was applied or had a conflict.
	 *
	 * @param versions the versions of rows by key
	 */
	record VersionsResponse(@Nullable Map<String, Long> versions) {
	}

	/**
	 * The response body of a transaction that the service rejected as unavailable.
	 *
	 * @param applied {@code false} if nothing was changed
	 */
	record RefusalResponse(@Nullable Boolean applied) {
	}

}
