import java.util.ArrayList;
import java.util.List;

/** All routers are killed before the operator has written the first configuration. */
final class RestartBeforeConfiguration implements Case {

	private static final int TENANTS = 10;

	@Override
	public boolean play(Bench bench, boolean trouble) throws Exception {
		Engine engine = bench.server(Bench.ENGINES, "i-7f3a91c2", 5, 20);
		List<Router> routers = new ArrayList<>(List.of(bench.router(), bench.router(), bench.router()));
		for (Router router : routers) {
			bench.start(router, true);
		}
		for (Router router : routers) {
			router.awaitReady(503, 20_000);
		}
		Thread.sleep(3_000);
		if (trouble) {
			for (Router router : routers) {
				router.kill();
			}
			Thread.sleep(1_400);
			for (Router router : routers) {
				bench.start(router, false);
			}
			for (Router router : routers) {
				router.awaitReady(503, 20_000);
			}
			Thread.sleep(3_000);
		}
		bench.store.put("op", "config", Config.of(3, TENANTS, 2_000_000));
		for (Router router : routers) {
			router.awaitReady(200, 20_000);
		}
		// All are in touch from here on.
		Thread.sleep(3_000);
		Load load = new Load(bench.record);
		load.play("after the first configuration", routers, 10, 40, (i) -> Config.stream("c%05d".formatted(i), i % TENANTS));
		bench.record.say("the server ran %d requests, of 2000000 tokens a tenant at most %d were used",
				engine.runs.size(), engine.runs.size() * 1_540);
		int allowed = 5 + load.sent.get() / 500;
		bench.record.say("answered with a 4xx of the router's own, though proper and allowed: %d, the rule bears %d",
				load.own4xx.get(), allowed);
		return load.own4xx.get() <= allowed;
	}

}
