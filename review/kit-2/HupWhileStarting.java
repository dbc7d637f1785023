import java.util.ArrayList;
import java.util.List;

/** The settings change while two routers start, three times in a row. */
final class HupWhileStarting implements Case {

	/** Into the start of a process, which takes longer on a part of a core. */
	private static final int AFTER_START_MS = 250;

	private static final int RESTART_DELAY_MS = 500;

	private static final int CHANGES = 3;

	@Override
	public boolean play(Bench bench, boolean trouble) throws Exception {
		bench.server(Bench.DESK, "i-02d9e6b4", 1, 0);
		bench.store.put("op", "config", Config.of(3, 10, 200_000_000));
		List<Router> routers = new ArrayList<>(List.of(bench.router(), bench.router()));
		int[] ends = new int[routers.size()];
		for (int change = 0; change < CHANGES; change++) {
			for (int i = 0; i < routers.size(); i++) {
				if (change == 0 || !routers.get(i).isRunning()) {
					bench.start(routers.get(i), change == 0);
				}
			}
			Thread.sleep(AFTER_START_MS);
			for (int i = 0; i < routers.size(); i++) {
				if (trouble) {
					routers.get(i).signal("HUP");
				}
				if (routers.get(i).exitsWithin(500)) {
					ends[i]++;
					bench.record.say("router %d ended by itself, exit code %d", i + 1, routers.get(i).exitCode());
				}
			}
			Thread.sleep(RESTART_DELAY_MS);
		}
		int often = 0;
		for (int count : ends) {
			often += (count >= CHANGES) ? 1 : 0;
		}
		bench.record.say("routers that ended by themselves three times: %d of %d", often, routers.size());
		return often < 2;
	}

}
