package io.verbenacleat.itest;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * The relays between the processes of a test fleet, one for each connecting process and
 * target, so that each link can be cut on its own. Each process sees its peers at the
 * ports of its relays, because the relays rewrite the addresses in rows and messages. Not
 * thread-safe.
 */
final class FleetLinks implements AutoCloseable {

	/** The name of the platform as the target of a link. */
	static final String PLATFORM = "platform";

	private final List<FleetNode> nodes;

	/**
	 * Starts the relays.
	 * @param nodes the entries and agents
	 * @param platformPort the port of the platform
	 * @throws IOException when a port cannot be bound
	 */
	FleetLinks(List<FleetNode> nodes, int platformPort) throws IOException {
		this.nodes = List.copyOf(nodes);
		for (FleetNode from : this.nodes) {
			from.links().put(PLATFORM, LinkRelay.start(platformPort));
			for (FleetNode to : this.nodes) {
				if (from != to && (from.isEntry() || to.isEntry())) {
					from.links().put(to.name(), LinkRelay.start(to.rpcPort()));
				}
			}
		}
		this.nodes.forEach(this::configureRewriting);
	}

	/**
	 * Returns the link from a node to a target.
	 * @param from the node that connects
	 * @param to the name of the target
	 * @return the relay
	 * @throws IllegalArgumentException when there is no such link
	 */
	static LinkRelay link(FleetNode from, String to) {
		LinkRelay relay = from.links().get(to);
		if (relay == null) {
			throw new IllegalArgumentException("No link from " + from.name() + " to " + to);
		}
		return relay;
	}

	/**
	 * Ends all cuts and delays.
	 */
	void heal() {
		this.nodes.forEach((node) -> node.links().values().forEach(LinkRelay::heal));
	}

	@Override
	public void close() {
		this.nodes.forEach((node) -> node.links().values().forEach(LinkRelay::close));
	}

	private void configureRewriting(FleetNode from) {
		link(from, PLATFORM).rewritePorts(portMap(from::portTo, FleetNode::rpcPort),
				portMap(FleetNode::rpcPort, from::portTo));
		for (FleetNode to : this.nodes) {
			if (from.links().containsKey(to.name())) {
				link(from, to.name()).rewritePorts(portMap(from::portTo, to::portTo),
						portMap(to::portTo, from::portTo));
			}
		}
	}

	private Map<Integer, Integer> portMap(ToIntFunction<FleetNode> fromPort, ToIntFunction<FleetNode> toPort) {
		Map<Integer, Integer> ports = new HashMap<>();
		this.nodes.forEach((node) -> ports.put(fromPort.applyAsInt(node), toPort.applyAsInt(node)));
		return ports;
	}

}
