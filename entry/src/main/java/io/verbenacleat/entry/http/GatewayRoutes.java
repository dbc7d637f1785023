package io.verbenacleat.entry.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.jooby.Context;
import io.verbenacleat.core.account.CallerKey;
import io.verbenacleat.core.config.LimitsConfig;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.entry.request.CallerRequest;
import io.verbenacleat.entry.request.RefusalCode;
import io.verbenacleat.entry.request.RequestRunner;
import io.verbenacleat.entry.request.RequestRunner.RunningRequest;
import io.verbenacleat.entry.request.ResponseListener;
import io.verbenacleat.proto.v1.HttpHeader;
import io.verbenacleat.proto.v1.HttpWork;
import org.jspecify.annotations.Nullable;

/**
 * Handles the requests of each route: parses and validates them, starts their runs and
 * lists the models. Safe for use by several threads.
 */
final class GatewayRoutes {

	private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private final RequestRunner runner;

	private final KeyCheck keyCheck;

	private final GatewayMetrics metrics;

	private final ChatRequestParser parser = new ChatRequestParser();

	GatewayRoutes(RequestRunner runner, KeyCheck keyCheck, GatewayMetrics metrics) {
		this.runner = runner;
		this.keyCheck = keyCheck;
		this.metrics = metrics;
	}

	/**
	 * Runs a chat completion.
	 * @param context the request
	 * @param exchange the exchange of the request
	 * @param config the configuration in force
	 * @param requestId the request id
	 * @throws RequestRejectedException if the request is not valid
	 */
	void chat(Context context, Exchange exchange, OfficeConfig config, String requestId)
			throws RequestRejectedException {
		this.metrics.countRequest("chat");
		CallerKey key = CallerHeaders.key(context);
		byte[] body = readBody(context, config.limits());
		ParsedChatRequest parsedRequest = this.parser.parse(body, config);
		Duration timeout = CallerHeaders.timeout(context, config.limits());
		CallerRequest request = new CallerRequest(requestId, key, parsedRequest.work(), null,
				parsedRequest.reserveTokens(), true, null, fingerprint(context, body), timeout, parsedRequest.prefix());
		ResponseListener listener = (parsedRequest.stream())
				? new StreamedChatListener(exchange, parsedRequest.includeUsage())
				: new CollectedChatListener(exchange);
		run(exchange, request, listener);
	}

	/**
	 * Runs a request to a plain service.
	 * @param context the request
	 * @param exchange the exchange of the request
	 * @param config the configuration in force
	 * @param requestId the request id
	 * @throws RequestRejectedException if the request is not valid
	 */
	void service(Context context, Exchange exchange, OfficeConfig config, String requestId)
			throws RequestRejectedException {
		this.metrics.countRequest("service");
		CallerKey key = CallerHeaders.key(context);
		RouteMatcher.Match match = RouteMatcher.find(config, context.getMethod(), context.getRequestPath());
		byte[] body = readBody(context, config.limits());
		String idempotencyKey = idempotencyKey(context, match.route().repeatable());
		Duration timeout = CallerHeaders.timeout(context, config.limits());
		HttpWork work = toHttpWork(context, match, body);
		CallerRequest request = new CallerRequest(requestId, key, null, work, match.route().priceTokens(),
				match.route().repeatable(), idempotencyKey, fingerprint(context, body), timeout);
		run(exchange, request, new ServiceListener(exchange));
	}

	/**
	 * Lists the models.
	 * @param context the request
	 * @param exchange the exchange of the request
	 * @param config the configuration in force
	 * @param requestId the request id
	 * @throws RequestRejectedException if the key is missing or malformed
	 */
	void models(Context context, Exchange exchange, OfficeConfig config, String requestId)
			throws RequestRejectedException {
		this.metrics.countRequest("models");
		CallerKey key = CallerHeaders.key(context);
		this.keyCheck.check(requestId, key).thenAccept((refusal) -> {
			if (refusal.isPresent()) {
				exchange.refuse(refusal.get());
			}
			else {
				exchange.send(200, "application/json", Exchange.bytes(modelList(config)));
			}
		});
	}

	private void run(Exchange exchange, CallerRequest request, ResponseListener listener) {
		RunningRequest running = this.runner.run(request, listener);
		exchange.setCallerGoneListener(running::callerGone);
	}

	private static HttpWork toHttpWork(Context context, RouteMatcher.Match match, byte[] body) {
		String query = context.queryString();
		HttpWork.Builder work = HttpWork.newBuilder()
			.setService(match.service().name())
			.setMethod(context.getMethod())
			.setPathAndQuery(context.getRequestPath() + query)
			.setBody(ByteString.copyFrom(body))
			.setPriceTokens(match.route().priceTokens());
		for (Map.Entry<String, String> header : context.headerMap().entrySet()) {
			if (HopByHopHeaders.isEndToEnd(header.getKey())) {
				work.addHeaders(HttpHeader.newBuilder().setName(header.getKey()).setValue(header.getValue()));
			}
		}
		return work.build();
	}

	private static @Nullable String idempotencyKey(Context context, boolean repeatable)
			throws RequestRejectedException {
		String key = CallerHeaders.idempotencyKey(context);
		if (key == null && !repeatable) {
			throw new RequestRejectedException(RefusalCode.IDEMPOTENCY_KEY_REQUIRED,
					"This request may not run twice, so it needs the header " + IDEMPOTENCY_KEY);
		}
		return key;
	}

	private static byte[] readBody(Context context, LimitsConfig limits) throws RequestRejectedException {
		byte[] body = context.body().bytes();
		if (body.length > limits.maxBodyBytes()) {
			throw new RequestRejectedException(RefusalCode.BODY_TOO_LARGE,
					"The body has " + body.length + " bytes, allowed are " + limits.maxBodyBytes());
		}
		return body;
	}

	private static String fingerprint(Context context, byte[] body) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			String line = context.getMethod() + " " + context.getRequestPath() + context.queryString() + "\n";
			digest.update(line.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest.digest(body));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

	private static ObjectNode modelList(OfficeConfig config) {
		ObjectNode list = Json.mapper().createObjectNode();
		list.put("object", "list");
		ArrayNode data = list.putArray("data");
		config.modelAndAdapterNames()
			.forEach((name) -> data.addObject()
				.put("id", name)
				.put("object", "model")
				.put("created", 0)
				.put("owned_by", config.office()));
		return list;
	}

}
