package io.verbenacleat.ctl;

import io.verbenacleat.core.platform.TableStore;

/**
 * A connection to the platform. Immutable; closed once by its user.
 *
 * @param tables the table service
 * @param release releases threads and sockets
 */
public record PlatformConnection(TableStore tables, Runnable release) implements AutoCloseable {

	@Override
	public void close() {
		this.release.run();
	}

}
