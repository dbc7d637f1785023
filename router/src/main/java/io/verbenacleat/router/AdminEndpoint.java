package io.verbenacleat.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.verbenacleat.core.daemon.StrictRequestDecoder;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.router.peer.PeerRequestHandler;
import io.verbenacleat.router.quarantine.PartQuarantine;
import io.verbenacleat.router.relay.ListeningSockets;

/**
 * HTTP server for readiness checks, metrics or calls of other routers. Safe for use by
 * several threads.
 */
final class AdminEndpoint implements AutoCloseable {

	/**
	 * Maximum size of a request body, which bounds the memory. A token request for 780
	 * workspaces has about 60 KB.
	 */
	private static final int MAX_BODY_BYTES = 262_144;

	private static final int MAX_LINE_BYTES = 4_096;

	private static final int MAX_HEADER_BYTES = 8_192;

	private static final int MAX_CHUNK_BYTES = 8_192;

	static final String REFUSED_PARTS = "/refused-parts";

	private final Channel channel;

	private AdminEndpoint(Channel channel) {
		this.channel = channel;
	}

	/**
	 * Starts an endpoint that responds with status 200 while the router is ready, and
	 * with 503 otherwise.
	 * @param loop the event loop
	 * @param host the IP address
	 * @param port the port, 0 for any free one
	 * @param ready returns whether the router accepts requests
	 * @return the running endpoint
	 * @throws IOException when the address cannot be used
	 */
	static AdminEndpoint readiness(EventLoopGroup loop, String host, int port, BooleanSupplier ready)
			throws IOException {
		return start(loop, host, port, (method, path, body) -> {
			HttpResponseStatus status = ready.getAsBoolean() ? HttpResponseStatus.OK
					: HttpResponseStatus.SERVICE_UNAVAILABLE;
			return CompletableFuture.completedFuture(new Response(status, "text/plain", new byte[0]));
		});
	}

	/**
	 * Starts an endpoint that serves metrics and, at {@link #REFUSED_PARTS}, the refused
	 * prompt parts. A POST of the id of a part to that path lifts its refusal.
	 * @param loop the event loop
	 * @param host the IP address
	 * @param port the port, 0 for any free one
	 * @param registry the registry of the metrics
	 * @param quarantine the refused parts
	 * @return the running endpoint
	 * @throws IOException when the address cannot be used
	 */
	static AdminEndpoint metrics(EventLoopGroup loop, String host, int port, PrometheusRegistry registry,
			PartQuarantine quarantine) throws IOException {
		PrometheusTextFormatWriter writer = new PrometheusTextFormatWriter(false);
		return start(loop, host, port, (method, path, body) -> {
			if (path.equals(REFUSED_PARTS)) {
				return CompletableFuture.completedFuture(refusedParts(method, body.strip(), quarantine));
			}
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			writer.write(out, registry.scrape());
			return CompletableFuture
				.completedFuture(new Response(HttpResponseStatus.OK, writer.getContentType(), out.toByteArray()));
		});
	}

	private static Response refusedParts(HttpMethod method, String part, PartQuarantine quarantine) {
		HttpResponseStatus status = HttpResponseStatus.OK;
		if (method.equals(HttpMethod.POST)) {
			boolean refused = quarantine.refusedParts().stream().anyMatch((candidate) -> candidate.part().equals(part));
			if (refused) {
				quarantine.lift(part);
			}
			status = refused ? HttpResponseStatus.ACCEPTED : HttpResponseStatus.NOT_FOUND;
		}
		return new Response(status, "application/json",
				Json.write(quarantine.refusedParts()).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Starts an endpoint for calls of other routers. A failed call is answered with
	 * status 400 and the message of the failure.
	 * @param loop the event loop
	 * @param host the IP address
	 * @param port the port, 0 for any free one
	 * @param requestHandler handles the calls
	 * @return the running endpoint
	 * @throws IOException when the address cannot be used
	 */
	static AdminEndpoint peers(EventLoopGroup loop, String host, int port, PeerRequestHandler requestHandler)
			throws IOException {
		return start(loop, host, port,
				(method, path,
						body) -> requestHandler.handle(path, body)
							.handle((answer,
									failure) -> (failure != null)
											? new Response(HttpResponseStatus.BAD_REQUEST, "text/plain",
													String.valueOf(failure.getMessage())
														.getBytes(StandardCharsets.UTF_8))
											: new Response(HttpResponseStatus.OK, "application/json",
													answer.getBytes(StandardCharsets.UTF_8))));
	}

	int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	@Override
	public void close() {
		this.channel.close().syncUninterruptibly();
	}

	private static AdminEndpoint start(EventLoopGroup loop, String host, int port, Responder responder)
			throws IOException {
		ServerBootstrap bootstrap = new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel accepted) {
					accepted.pipeline()
						.addLast(new StrictRequestDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
						.addLast(new HttpResponseEncoder())
						.addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
						.addLast(new ResponseHandler(responder));
				}
			});
		return new AdminEndpoint(ListeningSockets.bind(bootstrap, host, port));
	}

	/**
	 * Creates the responses of an endpoint.
	 */
	private interface Responder {

		CompletableFuture<Response> respond(HttpMethod method, String path, String body) throws IOException;

	}

	/**
	 * A response of an endpoint.
	 *
	 * @param status the status
	 * @param contentType the media type of the body
	 * @param body the body, which must not be modified
	 */
	private record Response(HttpResponseStatus status, String contentType, byte[] body) {
	}

	private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final Responder responder;

		private ResponseHandler(Responder responder) {
			this.responder = responder;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) throws IOException {
			if (request.decoderResult().isFailure()) {
				write(context, request.method(),
						new Response(HttpResponseStatus.BAD_REQUEST, "text/plain", new byte[0]), false);
				return;
			}
			HttpMethod method = request.method();
			boolean keepAlive = HttpUtil.isKeepAlive(request);
			this.responder.respond(method, request.uri(), request.content().toString(StandardCharsets.UTF_8))
				.thenAcceptAsync((response) -> write(context, method, response, keepAlive), context.executor());
		}

		private static void write(ChannelHandlerContext context, HttpMethod method, Response response,
				boolean keepAlive) {
			ByteBuf body = method.equals(HttpMethod.HEAD) ? Unpooled.EMPTY_BUFFER
					: Unpooled.wrappedBuffer(response.body());
			FullHttpResponse httpResponse = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(), body);
			httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
			httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
			HttpUtil.setKeepAlive(httpResponse, keepAlive);
			var written = context.writeAndFlush(httpResponse);
			if (!keepAlive) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
