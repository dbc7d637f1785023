package io.verbenacleat.ctl;

import java.time.Duration;

import io.verbenacleat.core.platform.PlatformClient;

/**
 * The entry point of the program {@code verbenactl}.
 */
public final class VerbenaCtl {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

	private VerbenaCtl() {
	}

	/**
	 * Runs the program and exits with the code of the command.
	 * @param args the command line arguments
	 */
	public static void main(String[] args) {
		// Must precede the first logger: the configuration in core is for daemons.
		if (System.getProperty("log4j2.configurationFile") == null) {
			System.setProperty("log4j2.configurationFile", "classpath:verbenactl-log4j2.xml");
		}
		CommandLine commandLine = new CommandLine(System.getenv(), System.out, System.err, VerbenaCtl::connect);
		System.exit(commandLine.run(args).code());
	}

	private static PlatformConnection connect(String url, String token) {
		PlatformClient client = PlatformClient.builder(url).token(token).callTimeout(CALL_TIMEOUT).build();
		return new PlatformConnection(client.tables(), client::close);
	}

}
