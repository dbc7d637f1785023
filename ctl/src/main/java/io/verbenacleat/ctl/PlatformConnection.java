package io.verbenacleat.ctl;

import io.verbenacleat.core.platform.TableStore;

/**
 * A connection to the platform, which must be closed once. Immutable.
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
