package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A loopback proxy in place of a network link. It can silence its open connections
 * (nothing is passed on any more, nothing is closed), and it can pass on bytes to the
 * caller at a limited rate.
 */
final class Link {

	private final ServerSocket listener;

	private final InetSocketAddress target;

	private final int bytesPerS;

	private final int bufferBytes;

	private final List<Pair> pairs = new CopyOnWriteArrayList<>();

	/**
	 * Starts a link.
	 * @param ip the address to listen on
	 * @param target where connections lead
	 * @param bytesPerS the rate towards the caller, 0 for no limit
	 */
	Link(String ip, InetSocketAddress target, int bytesPerS) throws IOException {
		this.target = target;
		this.bytesPerS = bytesPerS;
		this.bufferBytes = (bytesPerS > 0) ? 8_192 : 0;
		this.listener = new ServerSocket();
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
		daemon(this::accept);
	}

	int port() {
		return this.listener.getLocalPort();
	}

	/** Silences all connections that are open now; later ones work. */
	int silence() {
		this.pairs.forEach((pair) -> pair.silent = true);
		return this.pairs.size();
	}

	private void accept() {
		while (true) {
			try {
				Socket caller = this.listener.accept();
				Socket server = new Socket();
				if (this.bufferBytes > 0) {
					server.setReceiveBufferSize(this.bufferBytes);
					caller.setSendBufferSize(this.bufferBytes);
				}
				server.connect(this.target, 2_000);
				caller.setTcpNoDelay(true);
				server.setTcpNoDelay(true);
				Pair pair = new Pair(caller, server);
				this.pairs.add(pair);
				daemon(() -> pair.copy(caller, server, 0));
				daemon(() -> pair.copy(server, caller, this.bytesPerS));
			}
			catch (IOException ex) {
				if (this.listener.isClosed()) {
					return;
				}
			}
		}
	}

	static void daemon(Runnable task) {
		Thread thread = new Thread(task, "stand-in");
		thread.setDaemon(true);
		thread.start();
	}

	private final class Pair {

		private final Socket caller;

		private final Socket server;

		private volatile boolean silent;

		private Pair(Socket caller, Socket server) {
			this.caller = caller;
			this.server = server;
		}

		private void copy(Socket from, Socket to, int rate) {
			byte[] buffer = new byte[(rate > 0) ? Math.max(256, rate / 50) : 65_536];
			boolean reset = false;
			try {
				InputStream in = from.getInputStream();
				OutputStream out = to.getOutputStream();
				int count = in.read(buffer);
				while (count >= 0 && !this.silent) {
					out.write(buffer, 0, count);
					out.flush();
					if (rate > 0) {
						Thread.sleep(Math.max(1, count * 1_000L / rate));
					}
					count = in.read(buffer);
				}
			}
			catch (IOException ex) {
				reset = true;
			}
			catch (InterruptedException ex) {
				return;
			}
			if (this.silent) {
				return;
			}
			try {
				if (reset) {
					this.caller.setSoLinger(true, 0);
					this.server.setSoLinger(true, 0);
					this.caller.close();
					this.server.close();
				}
				else {
					to.shutdownOutput();
				}
			}
			catch (IOException ex) {
				// The other side is closed already.
			}
		}

	}

}
