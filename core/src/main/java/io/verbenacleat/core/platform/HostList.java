package io.verbenacleat.core.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The list of hosts that the platform keeps. It lags behind reality. Implementations are
 * safe for use by several threads.
 */
public interface HostList {

	/**
	 * Reads the list.
	 * @return the hosts; fails with a {@link PlatformException}
	 */
	CompletableFuture<List<HostEntry>> hosts();

}
