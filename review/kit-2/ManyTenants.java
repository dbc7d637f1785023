import java.util.List;

/** All routers of a system with 60 tenants are killed at once. */
final class ManyTenants implements Case {

	private static final int TENANTS = 60;

	private static final int RECOVER_MS = 12_000;

	@Override
	public boolean play(Bench bench, boolean trouble) throws Exception {
		bench.server(Bench.ENGINES, "i-7f3a91c2", 5, 20);
		List<Router> routers = List.of(bench.router(), bench.router(), bench.router());
		bench.store.put("op", "config", Config.of(3, TENANTS, 2_000_000));
		for (Router router : routers) {
			bench.start(router, true);
		}
		for (Router router : routers) {
			router.awaitReady(200, 20_000);
		}
		Thread.sleep(3_000);
		Load before = new Load(bench.record);
		before.play("before the fault", routers, 20, 20, (i) -> Config.stream("b%05d".formatted(i), (i / 3) % TENANTS));
		bench.record.say("calls of the store over its limit of entries: %d", bench.store.tooLarge.get());
		if (trouble) {
			for (Router router : routers) {
				router.kill();
			}
			Thread.sleep(1_400);
			for (Router router : routers) {
				bench.start(router, false);
			}
			for (Router router : routers) {
				router.awaitReady(200, 20_000);
			}
		}
		Thread.sleep(RECOVER_MS);
		Load after = new Load(bench.record);
		after.play("later than 12 s after the machines are back", routers, 20, 20,
				(i) -> Config.stream("a%05d".formatted(i), (i / 3) % TENANTS));
		bench.record.say("calls of the store over its limit of entries: %d", bench.store.tooLarge.get());
		boolean servedBefore = 4 * before.served.get() >= before.sent.get();
		boolean servedAfter = 4 * after.served.get() >= after.sent.get();
		return !servedBefore || servedAfter;
	}

}
