import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Clients send requests whose bodies hold the text of another request. */
final class SmuggledRequest implements Case {

	/** Transfer codings of which none is chunked, so that they state no length. */
	private static final List<String> CODINGS = List.of("gzip", "xchunked", "deflate", "gzip, identity");

	private static final int ROUNDS = 5;

	@Override
	public boolean play(Bench bench, boolean trouble) throws Exception {
		Engine server = bench.server(Bench.DESK, "i-02d9e6b4", 1, 0);
		Router router = bench.router();
		bench.store.put("op", "config", Config.of(3, 10, 2_000_000));
		bench.start(router, true);
		router.awaitReady(200, 20_000);
		Thread.sleep(3_000);
		Set<String> sent = new TreeSet<>();
		for (int round = 0; round < ROUNDS; round++) {
			for (int i = 0; i < CODINGS.size(); i++) {
				String id = "s%d%03d".formatted(round, i);
				byte[] body = text("inner%d%03d".formatted(round, i));
				Caller.Request request = Config.lookup("POST", id, 1, new byte[0], trouble ? -1 : body.length);
				if (trouble) {
					request.with("Transfer-Encoding", CODINGS.get(i));
				}
				sent.add(id);
				send(bench, router, request, body);
			}
		}
		Set<String> unasked = new TreeSet<>(server.runs.keySet());
		unasked.removeAll(sent);
		bench.record.say("requests that clients sent: %d, of these run: %d", sent.size(),
				server.runs.size() - unasked.size());
		bench.record.say("run by the server, though no client sent them and they only stood in the body of another: %d %s",
				unasked.size(), unasked);
		return unasked.isEmpty();
	}

	// The text in the body has the key of another tenant.
	private static byte[] text(String id) {
		Caller.Request inner = Config.lookup(id, 2);
		return inner.head();
	}

	private static void send(Bench bench, Router router, Caller.Request request, byte[] body) {
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		String end = "";
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(router.host(), Router.CALLER_PORT), 1_000);
			socket.setSoTimeout(500);
			bench.record.line("client sends:%n%s%s", new String(request.head(), StandardCharsets.ISO_8859_1),
					new String(body, StandardCharsets.ISO_8859_1));
			socket.getOutputStream().write(request.head());
			socket.getOutputStream().write(body);
			InputStream in = socket.getInputStream();
			for (int next = in.read(); next >= 0; next = in.read()) {
				received.write(next);
			}
			end = "(closed)";
		}
		catch (SocketTimeoutException ex) {
			end = "(stays open)";
		}
		catch (IOException ex) {
			end = ex.toString();
		}
		bench.record.line("client receives:%n%s %s", received.toString(StandardCharsets.ISO_8859_1), end);
	}

}
