package io.verbenacleat.entry.holder;

import java.util.concurrent.CompletableFuture;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.control.Blackboard;
import io.verbenacleat.entry.EntryStateKeys;
import io.verbenacleat.entry.budget.BudgetHolder;
import io.verbenacleat.proto.v1.HolderServiceGrpc;
import io.verbenacleat.proto.v1.ProbeRequest;
import io.verbenacleat.proto.v1.ProbeResponse;
import io.verbenacleat.proto.v1.ReleaseRequest;
import io.verbenacleat.proto.v1.ReleaseResponse;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * The gRPC service that makes the holder of this process available to the fleet. Safe for
 * use by several threads.
 */
public final class HolderService extends HolderServiceGrpc.HolderServiceImplBase {

	private final String incarnation;

	private final BudgetHolder holder;

	private final Blackboard blackboard;

	/**
	 * Creates a service.
	 * @param incarnation the incarnation of this entry
	 * @param holder the holder of this process
	 * @param blackboard the blackboard of the entry
	 */
	public HolderService(String incarnation, BudgetHolder holder, Blackboard blackboard) {
		this.incarnation = incarnation;
		this.holder = holder;
		this.blackboard = blackboard;
	}

	@Override
	public void reserve(ReserveRequest request, StreamObserver<ReserveResponse> observer) {
		respond(this.holder.reserve(request), observer);
	}

	@Override
	public void settle(SettleRequest request, StreamObserver<SettleResponse> observer) {
		respond(this.holder.settle(request), observer);
	}

	@Override
	public void release(ReleaseRequest request, StreamObserver<ReleaseResponse> observer) {
		respond(this.holder.release(request), observer);
	}

	@Override
	public void probe(ProbeRequest request, StreamObserver<ProbeResponse> observer) {
		OfficeConfig config = this.blackboard.read(EntryStateKeys.CONFIG);
		observer.onNext(ProbeResponse.newBuilder()
			.setIncarnation(this.incarnation)
			.setDraining(!Boolean.TRUE.equals(this.blackboard.read(EntryStateKeys.ACCEPTING)))
			.setConfigVersion((config != null) ? config.version() : 0)
			.build());
		observer.onCompleted();
	}

	private static <T> void respond(CompletableFuture<T> future, StreamObserver<T> observer) {
		future.whenComplete((response, failure) -> {
			if (failure != null) {
				observer
					.onError(Status.UNAVAILABLE.withDescription("The holder could not answer").asRuntimeException());
			}
			else {
				observer.onNext(response);
				observer.onCompleted();
			}
		});
	}

}
