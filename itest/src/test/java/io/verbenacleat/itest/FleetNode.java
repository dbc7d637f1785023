package io.verbenacleat.itest;

import java.util.HashMap;
import java.util.Map;

/**
 * An entry or agent of a test fleet, with its ports and the relays to its peers. Not
 * thread-safe.
 */
final class FleetNode {

	private final Map<String, LinkRelay> links = new HashMap<>();

	private final String name;

	private final String site;

	private final int rpcPort;

	private final int adminPort;

	private final int httpPort;

	FleetNode(String name, String site, PortAllocator ports) {
		this.name = name;
		this.site = site;
		this.rpcPort = ports.allocate();
		this.adminPort = ports.allocate();
		this.httpPort = ports.allocate();
	}

	/**
	 * Returns the name.
	 * @return the name
	 */
	String name() {
		return this.name;
	}

	/**
	 * Returns the site.
	 * @return the site
	 */
	String site() {
		return this.site;
	}

	/**
	 * Returns the port of the gRPC server.
	 * @return the port
	 */
	int rpcPort() {
		return this.rpcPort;
	}

	/**
	 * Returns the port of the health and metrics endpoints.
	 * @return the port
	 */
	int adminPort() {
		return this.adminPort;
	}

	/**
	 * Returns the HTTP port for callers, which only entries use.
	 * @return the port
	 */
	int httpPort() {
		return this.httpPort;
	}

	/**
	 * Returns whether this node is an entry.
	 * @return {@code true} for an entry
	 */
	boolean isEntry() {
		return this.name.startsWith("entry");
	}

	/**
	 * Returns the links from this node by the name of the target.
	 * @return the live, mutable map
	 */
	Map<String, LinkRelay> links() {
		return this.links;
	}

	/**
	 * Returns the port through which this node connects to another.
	 * @param other the other node
	 * @return the port of the link, or the gRPC port of the other node when there is no
	 * link
	 */
	int portTo(FleetNode other) {
		LinkRelay link = this.links.get(other.name());
		return (link != null) ? link.port() : other.rpcPort();
	}

}
