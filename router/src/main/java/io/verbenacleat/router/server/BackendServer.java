package io.verbenacleat.router.server;

import org.jspecify.annotations.Nullable;

/**
 * The registration of one incarnation of a backend server. Immutable.
 *
 * @param id the server id, which is sent with each request so that no other server runs
 * it
 * @param startedAtMs the start time of this incarnation in milliseconds of Unix time; a
 * server that restarts keeps its id
 * @param service the name of its service
 * @param host the IP address
 * @param port the port
 * @param zone the availability zone
 * @param slots the number of requests that the server runs concurrently
 * @param version the version of its software, an opaque text, empty if it states none;
 * {@code null} in messages of older routers
 * @param draining whether the server is draining and must not receive new requests
 * @param warmUp what the registration says about the warm-up of the server, {@code null}
 * if it says nothing, and in messages of older routers
 * @param sequence the number of the registration, which rises from one registration of
 * the incarnation to the next; {@code null} in messages of older routers
 */
public record BackendServer(String id, long startedAtMs, String service, String host, int port, String zone, int slots,
		@Nullable String version, boolean draining, @Nullable WarmUpNotice warmUp, @Nullable Long sequence) {

	/**
	 * Creates a registration in which a missing version is replaced by an empty one.
	 */
	public BackendServer {
		version = (version != null) ? version : "";
	}

	/**
	 * Creates a registration that says nothing about a warm-up and has no sequence.
	 * @param id the server id
	 * @param startedAtMs the start time in milliseconds of Unix time
	 * @param service the name of the service
	 * @param host the IP address
	 * @param port the port
	 * @param zone the availability zone
	 * @param slots the number of requests that the server runs concurrently
	 * @param version the version of the software
	 * @param draining whether the server is draining
	 */
	public BackendServer(String id, long startedAtMs, String service, String host, int port, String zone, int slots,
			@Nullable String version, boolean draining) {
		this(id, startedAtMs, service, host, port, zone, slots, version, draining, null, null);
	}

	/**
	 * Creates a registration that has no sequence.
	 * @param id the server id
	 * @param startedAtMs the start time in milliseconds of Unix time
	 * @param service the name of the service
	 * @param host the IP address
	 * @param port the port
	 * @param zone the availability zone
	 * @param slots the number of requests that the server runs concurrently
	 * @param version the version of the software
	 * @param draining whether the server is draining
	 * @param warmUp what the registration says about the warm-up of the server
	 */
	public BackendServer(String id, long startedAtMs, String service, String host, int port, String zone, int slots,
			@Nullable String version, boolean draining, @Nullable WarmUpNotice warmUp) {
		this(id, startedAtMs, service, host, port, zone, slots, version, draining, warmUp, null);
	}

	/**
	 * Returns the version of the software.
	 * @return the version, empty if the server states none
	 */
	public String softwareVersion() {
		return String.valueOf(this.version);
	}

	/**
	 * Returns a key for the incarnation, with all fields cleared that may change during
	 * its lifetime.
	 * @return a registration that is equal for all registrations of the incarnation
	 */
	public BackendServer incarnationKey() {
		return new BackendServer(this.id, this.startedAtMs, "", this.host, this.port, "", 0, "", false);
	}

	/**
	 * Returns the registration of the server when it is draining.
	 * @return a draining registration
	 */
	BackendServer asDraining() {
		return new BackendServer(this.id, this.startedAtMs, this.service, this.host, this.port, this.zone, this.slots,
				this.version, true, this.warmUp, this.sequence);
	}

	/**
	 * Returns the registration with another notice of a warm-up.
	 * @param notice the notice, {@code null} for none
	 * @return a registration that is otherwise equal
	 */
	public BackendServer withWarmUp(@Nullable WarmUpNotice notice) {
		return new BackendServer(this.id, this.startedAtMs, this.service, this.host, this.port, this.zone, this.slots,
				this.version, this.draining, notice, this.sequence);
	}

	/**
	 * Returns the registration with another sequence.
	 * @param number the sequence, {@code null} for none
	 * @return a registration that is otherwise equal
	 */
	public BackendServer withSequence(@Nullable Long number) {
		return new BackendServer(this.id, this.startedAtMs, this.service, this.host, this.port, this.zone, this.slots,
				this.version, this.draining, this.warmUp, number);
	}

	/**
	 * Returns whether another registration belongs to the same incarnation.
	 * @param other the other registration
	 * @return {@code true} if the incarnation is the same
	 */
	public boolean isSameIncarnation(BackendServer other) {
		return this.id.equals(other.id) && this.startedAtMs == other.startedAtMs && this.port == other.port
				&& this.host.equals(other.host);
	}

	/**
	 * Returns whether another registration belongs to a process that was started later in
	 * the place of this one. It may have another id.
	 * @param other the other registration
	 * @return {@code true} for a later incarnation at the same address and of the same
	 * service
	 */
	public boolean isPredecessorOf(BackendServer other) {
		return other.startedAtMs > this.startedAtMs && this.port == other.port && this.host.equals(other.host)
				&& this.service.equals(other.service);
	}

}
