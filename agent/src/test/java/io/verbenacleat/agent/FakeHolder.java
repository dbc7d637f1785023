package io.verbenacleat.agent;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.grpc.stub.StreamObserver;
import io.verbenacleat.core.rpc.FleetSecret;
import io.verbenacleat.core.rpc.RpcServer;
import io.verbenacleat.proto.v1.HolderServiceGrpc;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * A fake holder on the loopback interface that acknowledges all receipts at once. Safe
 * for use by several threads.
 */
final class FakeHolder extends HolderServiceGrpc.HolderServiceImplBase implements AutoCloseable {

	private final BlockingQueue<Receipt> receipts = new LinkedBlockingQueue<>();

	private final RpcServer server;

	FakeHolder(FleetSecret secret) throws IOException {
		this.server = RpcServer.start("127.0.0.1", 0, secret, List.of(this));
	}

	@Override
	public void settle(SettleRequest request, StreamObserver<SettleResponse> observer) {
		SettleResponse.Builder response = SettleResponse.newBuilder();
		for (Receipt receipt : request.getReceiptsList()) {
			this.receipts.add(receipt);
			response.addDurableRequestIds(receipt.getRequestId());
		}
		observer.onNext(response.build());
		observer.onCompleted();
	}

	/**
	 * Waits for the next receipt.
	 * @return the receipt
	 * @throws InterruptedException when interrupted
	 */
	Receipt next() throws InterruptedException {
		Receipt receipt = this.receipts.poll(20, TimeUnit.SECONDS);
		if (receipt == null) {
			throw new AssertionError("No receipt arrived");
		}
		return receipt;
	}

	String address() {
		return "127.0.0.1:" + this.server.port();
	}

	@Override
	public void close() {
		this.server.close();
	}

}
