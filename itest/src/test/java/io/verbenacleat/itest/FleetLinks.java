package io.verbenacleat.itest;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * The relays between the processes of a test fleet. Every process sees its peers at the
 * ports of its own relays: addresses in rows and messages are replaced on their way, so
 * that each pair of processes has a link of its own. Used by one thread.
 */
final class FleetLinks implements AutoCloseable {

	/** The name of the platform as the end of a link. */
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
	 * Returns one link.
	 * @param from the node that connects
	 * @param to the name of the peer
	 * @return the relay
	 */
	static LinkRelay link(FleetNode from, String to) {
		LinkRelay relay = from.links().get(to);
		if (relay == null) {
			throw new IllegalArgumentException("No link from " + from.name() + " to " + to);
		}
		return relay;
	}

	/**
	 * Heals all links.
	 */
	void heal() {
		this.nodes.forEach((node) -> node.links().values().forEach(LinkRelay::heal));
	}

	@Override
	public void close() {
		this.nodes.forEach((node) -> node.links().values().forEach(LinkRelay::close));
	}

	private void configureRewriting(FleetNode from) {
		link(from, PLATFORM).rewritePorts(portMap(from::portTo, FleetNode::rpcPort), portMap(FleetNode::rpcPort, from::portTo));
		for (FleetNode to : this.nodes) {
			if (from.links().containsKey(to.name())) {
				link(from, to.name()).rewritePorts(portMap(from::portTo, to::portTo), portMap(to::portTo, from::portTo));
			}
		}
	}

	private Map<Integer, Integer> portMap(ToIntFunction<FleetNode> fromPort, ToIntFunction<FleetNode> toPort) {
		Map<Integer, Integer> ports = new HashMap<>();
		this.nodes.forEach((node) -> ports.put(fromPort.applyAsInt(node), toPort.applyAsInt(node)));
		return ports;
	}

}
