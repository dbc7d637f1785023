package io.verbenacleat.core.rpc;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.ForwardingClientCall.SimpleForwardingClientCall;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import org.jspecify.annotations.Nullable;

/**
 * The secret that the processes of one fleet share, as gRPC interceptors: a server
 * refuses each call without it, a client adds it. Immutable; its text form does not show
 * the secret.
 */
public final class FleetSecret {

	/** The least length, so that a secret cannot be guessed. */
	public static final int MIN_LENGTH = 16;

	private static final Metadata.Key<String> AUTHORIZATION = Metadata.Key.of("authorization",
			Metadata.ASCII_STRING_MARSHALLER);

	private static final String SCHEME = "Bearer ";

	private final String secret;

	private FleetSecret(String secret) {
		this.secret = secret;
	}

	/**
	 * Returns a secret.
	 * @param secret at least {@value #MIN_LENGTH} printable ASCII characters
	 * @return the secret
	 * @throws IllegalArgumentException when the text does not fit
	 */
	public static FleetSecret of(String secret) {
		if (secret.length() < MIN_LENGTH || !secret.chars().allMatch((c) -> c > ' ' && c < 127)) {
			throw new IllegalArgumentException(
					"A fleet secret has at least " + MIN_LENGTH + " printable ASCII characters without spaces");
		}
		return new FleetSecret(secret);
	}

	/**
	 * Returns an interceptor that refuses calls without this secret.
	 * @return the interceptor
	 */
	public ServerInterceptor serverInterceptor() {
		return new ServerInterceptor() {
			@Override
			public <Q, A> ServerCall.Listener<Q> interceptCall(ServerCall<Q, A> call, Metadata headers,
					ServerCallHandler<Q, A> next) {
				if (matches(headers.get(AUTHORIZATION))) {
					return next.startCall(call, headers);
				}
				call.close(Status.UNAUTHENTICATED.withDescription("Wrong or missing fleet secret"), new Metadata());
				return new ServerCall.Listener<>() {
				};
			}
		};
	}

	/**
	 * Returns an interceptor that adds this secret to each call.
	 * @return the interceptor
	 */
	public ClientInterceptor clientInterceptor() {
		return new ClientInterceptor() {
			@Override
			public <Q, A> ClientCall<Q, A> interceptCall(MethodDescriptor<Q, A> method, CallOptions options,
					Channel next) {
				return new SimpleForwardingClientCall<>(next.newCall(method, options)) {
					@Override
					public void start(Listener<A> listener, Metadata headers) {
						headers.put(AUTHORIZATION, SCHEME + FleetSecret.this.secret);
						super.start(listener, headers);
					}
				};
			}
		};
	}

	private boolean matches(@Nullable String header) {
		if (header == null) {
			return false;
		}
		byte[] expected = (SCHEME + this.secret).getBytes(StandardCharsets.UTF_8);
		return MessageDigest.isEqual(expected, header.getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public String toString() {
		return "FleetSecret[...]";
	}

}
