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
 * The secret that all processes of a fleet share. It provides the gRPC interceptors with
 * which clients send the secret and servers reject calls without it. Its string form does
 * not contain the secret. Immutable.
 */
public final class FleetSecret {

	/** The minimum length, which protects the secret against guessing. */
	public static final int MIN_LENGTH = 16;

	private static final Metadata.Key<String> AUTHORIZATION = Metadata.Key.of("authorization",
			Metadata.ASCII_STRING_MARSHALLER);

	private static final String SCHEME = "Bearer ";

	private final String secret;

	private FleetSecret(String secret) {
		this.secret = secret;
	}

	/**
	 * Creates a secret from its text.
	 * @param secret at least {@value #MIN_LENGTH} printable ASCII characters without
	 * spaces
	 * @return the secret
	 * @throws IllegalArgumentException if the text is too short or has other characters
	 */
	public static FleetSecret of(String secret) {
		if (secret.length() < MIN_LENGTH || !secret.chars().allMatch((c) -> c > ' ' && c < 127)) {
			throw new IllegalArgumentException(
					"A fleet secret has at least " + MIN_LENGTH + " printable ASCII characters without spaces");
		}
		return new FleetSecret(secret);
	}

	/**
	 * Returns an interceptor that rejects calls without this secret as unauthenticated.
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
