package io.verbenacleat.bench.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.verbenacleat.core.config.ConfigException;
import io.verbenacleat.core.config.ConfigFiles;
import io.verbenacleat.core.config.ConfigLoader;
import io.verbenacleat.core.config.ConfigText;
import io.verbenacleat.core.config.OfficeConfig;
import io.verbenacleat.core.json.Json;
import io.verbenacleat.core.json.JsonFormatException;
import io.verbenacleat.core.member.Member;
import io.verbenacleat.core.member.Membership;
import io.verbenacleat.core.member.ZoneMembers;

/**
 * Measures the cost of the membership by the number of processes and of the configuration
 * by the number of backend servers. Stateless.
 */
final class FleetCost {

	private static final int[] PROCESSES = { 250, 500, 1_000, 2_000 };

	private static final int[] SERVERS = { 50, 100, 200, 400, 600 };

	private static final String BASE = """
			office: pans
			region: south-texas
			sites:
			  - {name: austin, zone: tx-1}
			  - {name: san-antonio, zone: tx-2}
			models:
			  - {name: quotes, maxAnswerTokens: 4096}
			servers:
			""";

	private FleetCost() {
	}

	static List<Measurement> measure() {
		List<Slope.Point> heap = new ArrayList<>();
		List<Slope.Point> parse = new ArrayList<>();
		List<Slope.Point> bytes = new ArrayList<>();
		for (int processes : PROCESSES) {
			String json = Json.write(new ZoneMembers(members(processes)));
			heap.add(new Slope.Point(processes / 1_000.0, Meter.retainedBytes(() -> membership(json))));
			parse.add(new Slope.Point(processes / 1_000.0, Meter.medianCpuMicros(() -> membership(json))));
			bytes.add(new Slope.Point(processes / 1_000.0, json.length()));
		}
		List<Slope.Point> configHeap = new ArrayList<>();
		List<Slope.Point> configLoad = new ArrayList<>();
		ConfigLoader loader = new ConfigLoader();
		for (int servers : SERVERS) {
			ConfigFiles files = files(servers);
			configHeap.add(new Slope.Point(servers / 100.0, Meter.retainedBytes(() -> load(loader, files))));
			configLoad.add(new Slope.Point(servers / 100.0, Meter.medianCpuMicros(() -> load(loader, files))));
		}
		return List.of(new Measurement("membership heap", "B", "1000 processes", heap),
				new Measurement("membership read CPU", "us", "1000 processes", parse),
				new Measurement("membership rows", "B", "1000 processes", bytes),
				new Measurement("configuration heap", "B", "100 backend servers", configHeap),
				new Measurement("configuration load CPU", "us", "100 backend servers", configLoad));
	}

	private static List<Member> members(int count) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			boolean entry = i % 3 == 0;
			String name = ((entry) ? "entry-" : "agent-") + i;
			members.add(new Member(name + "-mb1yq2x0-7f3k9d", (entry) ? Member.Role.ENTRY : Member.Role.AGENT,
					"10.0." + i / 250 + "." + i % 250 + ":7000", "10.0." + i / 250 + "." + i % 250, "south-texas",
					"south-texas-1", "san-antonio", (entry) ? null : "engine-" + i, (entry) ? 0 : 3,
					1_790_000_000_000L + i));
		}
		return members;
	}

	private static Membership membership(String json) {
		try {
			return new Membership(Json.read(json, ZoneMembers.class).members());
		}
		catch (JsonFormatException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static ConfigFiles files(int servers) {
		StringBuilder text = new StringBuilder(BASE);
		for (int i = 0; i < servers; i++) {
			text.append("  - {name: engine-")
				.append(i)
				.append(", kind: model-engine, url: 'http://127.0.0.1:")
				.append(10_000 + i)
				.append("', site: austin, models: [quotes], checksFencing: true}\n");
		}
		return new ConfigFiles(new ConfigText("base.yaml", text.toString()), Map.of());
	}

	private static OfficeConfig load(ConfigLoader loader, ConfigFiles files) {
		try {
			return loader.load(1, files, "austin");
		}
		catch (ConfigException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
