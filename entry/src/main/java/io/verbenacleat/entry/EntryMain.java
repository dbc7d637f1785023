package io.verbenacleat.entry;

import io.verbenacleat.core.daemon.DaemonProcess;

/**
 * The program {@code verbena-entry}.
 */
public final class EntryMain {

	private EntryMain() {
	}

	/**
	 * Runs the daemon.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		new DaemonProcess<>("verbena-entry", EntrySettings::new, EntryDaemon::start).run(args);
	}

}
