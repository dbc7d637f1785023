package io.verbenacleat.entry;

import io.verbenacleat.core.daemon.DaemonProcess;

/**
 * The main class of {@code verbena-entry}.
 */
public final class EntryMain {

	private EntryMain() {
	}

	/**
	 * Runs the entry daemon.
	 * @param args the command line arguments
	 */
	public static void main(String[] args) {
		new DaemonProcess<>("verbena-entry", EntrySettings::new, EntryDaemon::start).run(args);
	}

}
