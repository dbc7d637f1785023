import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** Creates the stand-ins and routers of a case on loopback addresses, and ends them. */
final class Bench implements AutoCloseable {

	static final String HOST = "ficu95.example";

	/** The service of model servers. */
	static final String ENGINES = "huvo11a";

	/** The service of plain servers. */
	static final String DESK = "wuno96b";

	private final Path repository;

	private final Path folder;

	private final List<AutoCloseable> closing = new ArrayList<>();

	private final List<Router> routers = new ArrayList<>();

	/** The routers listen on fixed ports, so each run takes addresses of its own. */
	private final String network = "127." + ThreadLocalRandom.current().nextInt(16, 250) + "."
			+ ThreadLocalRandom.current().nextInt(1, 250) + ".";

	final Record record;

	final Store store;

	Bench(Path repository, Record record) throws IOException {
		this.repository = repository;
		this.record = record;
		this.folder = Files.createTempDirectory("review");
		this.store = new Store(this.network + "200", record);
		this.closing.add(this.store);
	}

	Router router() throws IOException {
		int number = this.routers.size() + 1;
		Router router = new Router("front-san-antonio-" + number, this.network + number, this.repository, this.folder,
				this.record);
		this.routers.add(router);
		this.closing.add(router);
		return router;
	}

	/** Starts a server that answers with some events, and registers it. */
	Engine server(String service, String id, int events, long gapMs) throws IOException {
		Engine server = new Engine(this.network + "100", id, events, gapMs, this.record);
		this.closing.add(server);
		this.store.put("servers", id, server.registration(service));
		return server;
	}

	/** Starts a plain server that spoils one in some answers, 0 for none, and registers it. */
	StutteringServer stutteringServer(String id, int spoiledEvery) throws IOException {
		StutteringServer server = new StutteringServer(this.network + "100", id, spoiledEvery, this.record);
		this.closing.add(server);
		this.store.put("servers", id, server.registration(DESK));
		return server;
	}

	void start(Router router, boolean first) throws IOException {
		router.start(this.store.address(), this.routers.stream().limit(3).map(Router::host).toList(), first);
	}

	List<Router> routers() {
		return this.routers;
	}

	Path folder() {
		return this.folder;
	}

	@Override
	public void close() throws Exception {
		for (int i = this.closing.size() - 1; i >= 0; i--) {
			this.closing.get(i).close();
		}
		if (System.getenv("KEEP") != null) {
			System.out.println("kept: " + this.folder);
			return;
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

}
