package io.verbenacleat.entry.budget;

import java.util.ArrayList;
import java.util.List;

import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.ProcessRow;
import io.verbenacleat.core.platform.Row;

/**
 * The process row of this holder as last read: whether it is still open, and its version.
 * Every write of the holder has the version of the open row as a condition. Used on the
 * control thread only.
 */
final class HolderProcess {

	private final String key;

	private final List<Runnable> listeners = new ArrayList<>();

	private long openVersion;

	private boolean closed;

	HolderProcess(String incarnation) {
		this.key = ProcessRow.key(incarnation);
	}

	String key() {
		return this.key;
	}

	void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns the version of the open row.
	 * @return the version, or 0 while it is unknown
	 */
	long openVersion() {
		return this.openVersion;
	}

	boolean closed() {
		return this.closed;
	}

	boolean confirmedOpen() {
		return this.openVersion > 0 && !this.closed;
	}

	/**
	 * Updates the state from a read of the process row.
	 * @param row the row as read
	 * @return whether the holder is known to be open
	 */
	boolean observe(Row row) {
		try {
			if (row.version() > 0) {
				if (Json.read(row.json(), ProcessRow.class).state() == ProcessRow.State.OPEN) {
					this.openVersion = row.version();
				}
				else {
					markClosed();
				}
			}
		}
		catch (JsonFormatException ex) {
			markClosed();
		}
		return confirmedOpen();
	}

	void markClosed() {
		if (!this.closed) {
			this.closed = true;
			this.listeners.forEach(Runnable::run);
		}
	}

}
