package io.verbenacleat.entry.holder;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.rpc.FleetSecret;
import io.verbenacleat.core.rpc.RpcServer;
import io.verbenacleat.entry.budget.BudgetHolder;
import io.verbenacleat.proto.v1.ReleaseRequest;
import io.verbenacleat.proto.v1.ReleaseResponse;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * A set of fake holders, each a gRPC server on the loopback interface with a script for
 * reservations. Safe for use by several threads.
 */
final class FakeHolderNetwork implements AutoCloseable {

	static final FleetSecret SECRET = FleetSecret.of("secret-of-the-test-fleet");

	final List<String> reserveCalls = new CopyOnWriteArrayList<>();

	final List<ReleaseRequest> releases = new CopyOnWriteArrayList<>();

	final List<SettleRequest> settles = new CopyOnWriteArrayList<>();

	final Map<String, Function<ReserveRequest, CompletableFuture<ReserveResponse>>> scripts = new ConcurrentHashMap<>();

	volatile boolean acknowledges = true;

	private final List<RpcServer> servers = new CopyOnWriteArrayList<>();

	Member add(String incarnation) throws IOException {
		HolderService service = new HolderService(incarnation, new ScriptedHolder(incarnation), new Blackboard());
		RpcServer server = RpcServer.start("127.0.0.1", 0, SECRET, List.of(service));
		this.servers.add(server);
		return new Member(incarnation, Member.Role.ENTRY, "127.0.0.1:" + server.port(), "127.0.0.1", "r", "z", "s",
				null, 0, 0);
	}

	static CompletableFuture<ReserveResponse> grant() {
		return CompletableFuture.completedFuture(ReserveResponse.newBuilder().setGranted(true).build());
	}

	@Override
	public void close() {
		this.servers.forEach(RpcServer::close);
	}

	private final class ScriptedHolder implements BudgetHolder {

		private final String incarnation;

		private ScriptedHolder(String incarnation) {
			this.incarnation = incarnation;
		}

		@Override
		public CompletableFuture<ReserveResponse> reserve(ReserveRequest request) {
			FakeHolderNetwork.this.reserveCalls.add(this.incarnation);
			return FakeHolderNetwork.this.scripts.getOrDefault(this.incarnation, (any) -> grant()).apply(request);
		}

		@Override
		public CompletableFuture<SettleResponse> settle(SettleRequest request) {
			FakeHolderNetwork.this.settles.add(request);
			return (FakeHolderNetwork.this.acknowledges)
					? CompletableFuture.completedFuture(SettleResponse.getDefaultInstance())
					: CompletableFuture.failedFuture(new IOException("no response"));
		}

		@Override
		public CompletableFuture<ReleaseResponse> release(ReleaseRequest request) {
			FakeHolderNetwork.this.releases.add(request);
			return CompletableFuture.completedFuture(ReleaseResponse.getDefaultInstance());
		}

	}

}
