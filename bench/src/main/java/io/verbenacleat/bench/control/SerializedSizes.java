package io.verbenacleat.bench.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import io.verbenacleat.core.journal.JournalReceipt;
import io.verbenacleat.core.journal.JournalRow;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.proto.v1.Accepted;
import io.verbenacleat.proto.v1.ChatWork;
import io.verbenacleat.proto.v1.CloseProcessRequest;
import io.verbenacleat.proto.v1.CloseProcessResponse;
import io.verbenacleat.proto.v1.ExecuteEvent;
import io.verbenacleat.proto.v1.ExecuteRequest;
import io.verbenacleat.proto.v1.Finished;
import io.verbenacleat.proto.v1.GetStatusRequest;
import io.verbenacleat.proto.v1.GetStatusResponse;
import io.verbenacleat.proto.v1.HolderGrant;
import io.verbenacleat.proto.v1.OrderId;
import io.verbenacleat.proto.v1.OrderState;
import io.verbenacleat.proto.v1.ProbeRequest;
import io.verbenacleat.proto.v1.ProbeResponse;
import io.verbenacleat.proto.v1.Receipt;
import io.verbenacleat.proto.v1.ReceiptStatus;
import io.verbenacleat.proto.v1.RefusalReason;
import io.verbenacleat.proto.v1.Refused;
import io.verbenacleat.proto.v1.ReleaseRequest;
import io.verbenacleat.proto.v1.ReleaseResponse;
import io.verbenacleat.proto.v1.ReserveRefusal;
import io.verbenacleat.proto.v1.ReserveRequest;
import io.verbenacleat.proto.v1.ReserveResponse;
import io.verbenacleat.proto.v1.ResolveOrderRequest;
import io.verbenacleat.proto.v1.ResolveOrderResponse;
import io.verbenacleat.proto.v1.SettleRequest;
import io.verbenacleat.proto.v1.SettleResponse;

/**
 * Computes the serialized sizes of typical messages and journal rows. Stateless.
 */
final class SerializedSizes {

	private static final String ENTRY = "entry-17-mb1yq2x0-7f3k9d";

	private static final String AGENT = "agent-301-mb1yq2x0-7f3k9d";

	private static final String REQUEST = "req-" + ENTRY + "-123456";

	private static final String ADDRESS = "10.0.12.17:7000";

	private static final long TIME_MS = 1_790_000_000_000L;

	private static final int[] RECEIPTS = { 1, 5, 20, 100, 500 };

	private static final OrderId ORDER = OrderId.newBuilder()
		.setGatewayIncarnation(ENTRY)
		.setAgentIncarnation(AGENT)
		.setSequence(123_456)
		.build();

	private static final Receipt RECEIPT = Receipt.newBuilder()
		.setRequestId(REQUEST)
		.setOrderId(ORDER)
		.setAccount("front-desk")
		.setCallerId("maria")
		.setHolderIncarnation(ENTRY)
		.setBackendServer("engine-301")
		.setTarget("quote-drafter")
		.setPromptTokens(1_200)
		.setAnswerTokens(371)
		.setBilledTokens(1_571)
		.setStatus(ReceiptStatus.COMPLETE)
		.setStartedAtMs(TIME_MS)
		.setFinishedAtMs(TIME_MS + 8_000)
		.build();

	private SerializedSizes() {
	}

	/**
	 * Returns the sizes of messages without framing and headers.
	 * @return the sizes in bytes by message
	 */
	static Map<String, Integer> messageSizes() {
		Map<String, Integer> sizes = new LinkedHashMap<>();
		holderMessages().forEach((name, message) -> sizes.put(name, message.getSerializedSize()));
		agentMessages().forEach((name, message) -> sizes.put(name, message.getSerializedSize()));
		return sizes;
	}

	private static Map<String, MessageLite> holderMessages() {
		Map<String, MessageLite> messages = new LinkedHashMap<>();
		ReserveRequest reserve = ReserveRequest.newBuilder()
			.setRequestId(REQUEST)
			.setGatewayIncarnation(ENTRY)
			.setAccount("front-desk")
			.setKeySha256("a".repeat(64))
			.setTokens(9_000)
			.build();
		messages.put("ReserveRequest", reserve);
		messages.put("ReserveResponse granted",
				ReserveResponse.newBuilder()
					.setGranted(true)
					.setHolderIncarnation(ENTRY)
					.setCallerId("maria")
					.setWorkspace("front-desk")
					.setPriority(3)
					.build());
		HolderGrant other = HolderGrant.newBuilder()
			.setHolderIncarnation(ENTRY)
			.setAddress(ADDRESS)
			.setRestTokens(50_000)
			.build();
		messages.put("ReserveResponse refused with 3 holders",
				ReserveResponse.newBuilder()
					.setRefusal(ReserveRefusal.BUDGET_RESERVED)
					.setHolderIncarnation(ENTRY)
					.setRetryAfterMs(1_000)
					.addAllAlternatives(Collections.nCopies(3, other))
					.build());
		messages.put("SettleRequest with 1 receipt", SettleRequest.newBuilder().addReceipts(RECEIPT).build());
		messages.put("SettleResponse with 1 request",
				SettleResponse.newBuilder().addDurableRequestIds(REQUEST).build());
		messages.put("ReleaseRequest with 1 request",
				ReleaseRequest.newBuilder().setHolderIncarnation(ENTRY).addRequestIds(REQUEST).build());
		messages.put("ReleaseResponse", ReleaseResponse.getDefaultInstance());
		messages.put("ProbeRequest", ProbeRequest.newBuilder().setIncarnation(ENTRY).build());
		messages.put("ProbeResponse", ProbeResponse.newBuilder().setIncarnation(ENTRY).setConfigVersion(4_000).build());
		return messages;
	}

	private static Map<String, MessageLite> agentMessages() {
		Map<String, MessageLite> messages = new LinkedHashMap<>();
		messages.put("ExecuteRequest with a body of 1000 B", execute());
		messages.put("ExecuteEvent Accepted",
				ExecuteEvent.newBuilder().setAccepted(Accepted.getDefaultInstance()).build());
		messages.put("ExecuteEvent Refused",
				ExecuteEvent.newBuilder().setRefused(Refused.newBuilder().setReason(RefusalReason.DRAINING)).build());
		messages.put("ExecuteEvent with a chunk of 200 B",
				ExecuteEvent.newBuilder().setPartNumber(200).setChatChunk(bytes(200)).build());
		messages.put("ExecuteEvent Finished",
				ExecuteEvent.newBuilder()
					.setPartNumber(372)
					.setFinished(Finished.newBuilder().setPartCount(372).setReceipt(RECEIPT))
					.build());
		messages.put("ResolveOrderRequest", ResolveOrderRequest.newBuilder().setOrderId(ORDER).build());
		messages.put("ResolveOrderResponse with a receipt",
				ResolveOrderResponse.newBuilder().setState(OrderState.FINISHED).setReceipt(RECEIPT).build());
		messages.put("CloseProcessRequest",
				CloseProcessRequest.newBuilder().setIncarnation(ENTRY).setAskingIncarnation(ENTRY).build());
		messages.put("CloseProcessResponse with 1 receipt",
				CloseProcessResponse.newBuilder().addReceipts(RECEIPT).build());
		messages.put("GetStatusRequest", GetStatusRequest.getDefaultInstance());
		messages.put("GetStatusResponse",
				GetStatusResponse.newBuilder()
					.setIncarnation(AGENT)
					.setBackendServer("engine-301")
					.setInProgress(12)
					.setConfigVersion(4_000)
					.setBackendReachable(true)
					.build());
		return messages;
	}

	private static ExecuteRequest execute() {
		return ExecuteRequest.newBuilder()
			.setOrderId(ORDER)
			.setRequestId(REQUEST)
			.setAccount("front-desk")
			.setCallerId("maria")
			.setWorkspace("front-desk")
			.setHolderIncarnation(ENTRY)
			.setHolderAddress(ADDRESS)
			.setReservedTokens(9_000)
			.setRepeatable(true)
			.setPriority(3)
			.setTimeoutMs(60_000)
			.setResolvedThrough(123_400)
			.setChat(ChatWork.newBuilder()
				.setModel("quote-drafter")
				.setBodyJson(bytes(1_000))
				.setPromptBoundTokens(1_100)
				.setAnswerBoundTokens(2_112))
			.build();
	}

	/**
	 * Returns the size of a journal row by its number of receipts, each for a different
	 * account.
	 * @return the measurement
	 */
	static Measurement journalRow() {
		List<Slope.Point> points = new ArrayList<>();
		for (int receipts : RECEIPTS) {
			List<JournalReceipt> batch = Collections.nCopies(receipts, JournalReceipt.of(RECEIPT));
			Map<String, Long> spent = new LinkedHashMap<>();
			Map<String, Long> held = new LinkedHashMap<>();
			for (int i = 0; i < receipts; i++) {
				spent.put("front-desk-" + i, 1_234_567L);
				held.put("front-desk-" + i, 0L);
			}
			points.add(new Slope.Point(receipts, Json.write(new JournalRow(batch, spent, held)).length()));
		}
		return new Measurement("journal row", "B", "receipt", points);
	}

	private static ByteString bytes(int length) {
		return ByteString.copyFrom(new byte[length]);
	}

}
