package io.verbenacleat.core.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The host list of the platform. It is updated with a delay, so it may miss new hosts and
 * contain hosts that are gone. Implementations are safe for use by several threads.
 */
public interface HostList {

	/**
	 * Reads the list.
	 * @return a future of the hosts; fails with a {@link PlatformException}
	 */
	CompletableFuture<List<HostEntry>> hosts();

}
