package io.verbenacleat.core.daemon;

import io.verbenacleat.core.rpc.FleetSecret;
import okhttp3.HttpUrl;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/**
 * The settings that the entry and the agent have in common. {@link SettingsParser} sets
 * the fields once at startup. Not safe for use by several threads until then.
 */
public abstract class CommonSettings {

	/** Prints the usage text and exits. */
	@Option(name = "--help", help = true, usage = "print this text")
	public boolean help;

	/** Prints the version and exits. */
	@Option(name = "--version", help = true, usage = "print the version")
	public boolean version;

	/** The name of the process, which its incarnation starts with. */
	@Option(name = "--name", metaVar = "NAME", usage = "name of this process, part of its identity")
	public String name = "";

	/** The region of this host. */
	@Option(name = "--region", metaVar = "NAME", usage = "region of this host")
	public String region = "";

	/** The availability zone of this host. */
	@Option(name = "--zone", metaVar = "NAME", usage = "availability zone of this host")
	public String zone = "";

	/** The site of this host. */
	@Option(name = "--site", metaVar = "NAME", usage = "site of this host")
	public String site = "";

	/** The IP address under which the fleet reaches this host. */
	@Option(name = "--host", metaVar = "IP", usage = "IP number of this host (default 127.0.0.1)")
	public String host = "127.0.0.1";

	/** The gRPC port, 0 for any free port. */
	@Option(name = "--rpc-port", metaVar = "PORT", usage = "gRPC port for the fleet (default 0, any free port)")
	public int rpcPort;

	/** The port of health checks and metrics, 0 for any free port. */
	@Option(name = "--admin-port", metaVar = "PORT",
			usage = "port of /health/live, /health/ready and /metrics (default 0, any free port)")
	public int adminPort;

	/** The base URL of the platform. */
	@Option(name = "--platform-url", metaVar = "URL", usage = "base URL of the platform services")
	public String platformUrl = "";

	/** The bearer token for the platform. */
	@Option(name = "--platform-token", metaVar = "TOKEN",
			usage = "bearer token for the platform; prefer the environment")
	public String platformToken = "";

	/** The secret that all processes of the fleet share. */
	@Option(name = "--fleet-secret", metaVar = "SECRET",
			usage = "secret that all processes of the fleet share, at least 16 characters; prefer the environment")
	public String fleetSecret = "";

	/** The layout of log lines. */
	@Option(name = "--log-layout", metaVar = "LAYOUT", usage = "text or json (default text)")
	public LogLayout logLayout = LogLayout.TEXT;

	/**
	 * Validates the settings.
	 * @throws UsageException if a setting is missing or invalid
	 */
	public void check() throws UsageException {
		require("--name", this.name);
		require("--region", this.region);
		require("--zone", this.zone);
		require("--site", this.site);
		require("--platform-url", this.platformUrl);
		if (!this.platformUrl.matches("https?://[^/ ]+/?") || HttpUrl.parse(this.platformUrl) == null) {
			throw new UsageException(
					"--platform-url: found '" + this.platformUrl + "', allowed is http(s)://host:port");
		}
		if (!this.name.matches("[a-z0-9][a-z0-9-]{0,40}")) {
			throw new UsageException("--name: found '" + this.name
					+ "', allowed are up to 41 lower-case letters, digits and '-', not '-' first");
		}
		requirePort("--rpc-port", this.rpcPort);
		requirePort("--admin-port", this.adminPort);
		secret();
	}

	/**
	 * Returns the fleet secret.
	 * @return the secret
	 * @throws UsageException if it is missing, too short or has invalid characters
	 */
	public FleetSecret secret() throws UsageException {
		try {
			return FleetSecret.of(this.fleetSecret);
		}
		catch (IllegalArgumentException ex) {
			throw new UsageException("--fleet-secret: " + ex.getMessage());
		}
	}

	/**
	 * Checks that a setting has a value.
	 * @param flag the flag, for the message
	 * @param value the value, or {@code null}
	 * @throws UsageException if the value is missing or blank
	 */
	protected static void require(String flag, @Nullable String value) throws UsageException {
		if (value == null || value.isBlank()) {
			throw new UsageException(flag + " is missing");
		}
	}

	/**
	 * Checks the range of a port.
	 * @param flag the flag, for the message
	 * @param port the port
	 * @throws UsageException if the port is not from 0 to 65535
	 */
	protected static void requirePort(String flag, int port) throws UsageException {
		if (port < 0 || port > 65_535) {
			throw new UsageException(flag + ": found " + port + ", allowed is 0 to 65535");
		}
	}

	/**
	 * The layout of log lines.
	 */
	public enum LogLayout {

		/** One line of plain text for each event. */
		TEXT,

		/** One JSON object for each event. */
		JSON

	}

}
