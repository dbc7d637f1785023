import java.util.List;

/** All routers are killed after a configuration that replaces a part of the tenants. */
final class ManyTenants implements Case {

	/** As many as the largest sheet has. */
	private static final int TENANTS = 40;

	private static final int REPLACED = 12;

	private static final long PREPAID = 2_000_000;

	private static final int RECOVER_MS = 15_000;

	@Override
	public boolean play(Bench bench, boolean trouble) throws Exception {
		bench.server(Bench.ENGINES, "i-7f3a91c2", 5, 20);
		List<Router> routers = List.of(bench.router(), bench.router(), bench.router());
		bench.store.put("op", "config", Config.of(3, 0, TENANTS, PREPAID));
		for (Router router : routers) {
			bench.start(router, true);
		}
		for (Router router : routers) {
			router.awaitReady(200, 20_000);
		}
		Thread.sleep(3_000);
		Load first = new Load(bench.record);
		first.play("40 tenants", routers, 20, 15, (i) -> Config.stream("b%05d".formatted(i), (i / 3) % TENANTS));
		bench.store.put("op", "config", Config.of(7, REPLACED, TENANTS, PREPAID));
		Thread.sleep(4_000);
		Load before = new Load(bench.record);
		before.play("40 tenants, 12 of them new", routers, 20, 10,
				(i) -> Config.stream("m%05d".formatted(i), REPLACED + (i / 3) % TENANTS));
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
		after.play("later than 15 s after the machines are back", routers, 20, 20,
				(i) -> Config.stream("a%05d".formatted(i), REPLACED + (i / 3) % TENANTS));
		bench.record.say("calls of the store over its limit of entries: %d", bench.store.tooLarge.get());
		boolean servedBefore = 4 * before.served.get() >= before.sent.get();
		boolean servedAfter = 4 * after.served.get() >= after.sent.get();
		return !servedBefore || servedAfter;
	}

}
