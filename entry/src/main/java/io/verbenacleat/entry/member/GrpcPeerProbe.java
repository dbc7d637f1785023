package io.verbenacleat.entry.member;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.rpc.Channels;
import io.verbenacleat.core.rpc.RpcFutures;
import io.verbenacleat.proto.v1.HolderServiceGrpc;
import io.verbenacleat.proto.v1.ProbeRequest;
import io.verbenacleat.proto.v1.ProbeResponse;

/**
 * Probes entries by gRPC. Safe for use by several threads.
 */
public final class GrpcPeerProbe implements PeerProbe {

	private final Channels channels;

	private final ProbeRequest request;

	/**
	 * Creates a probe.
	 * @param channels the gRPC channels to the processes of the fleet
	 * @param incarnation the incarnation of this process
	 */
	public GrpcPeerProbe(Channels channels, String incarnation) {
		this.channels = channels;
		this.request = ProbeRequest.newBuilder().setIncarnation(incarnation).build();
	}

	@Override
	public CompletableFuture<String> probe(Member peer) {
		return RpcFutures
			.of(HolderServiceGrpc.newFutureStub(this.channels.get(peer.address()))
				.withDeadlineAfter(PeerMonitor.PROBE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)
				.probe(this.request))
			.thenApply(ProbeResponse::getIncarnation);
	}

}
