package io.verbenacleat.core.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/**
 * Guards against example configurations that the loader rejects, that lack servers, or
 * that mark a POST route as repeatable.
 */
public class ExamplesTests {

	@Test(dataProvider = "examples")
	public void exampleIsValid(String name, String sites, int engines, int firstEnginePort, int firstBookingPort)
			throws IOException, ConfigException {
		Path directory = Path.of("..", "examples", name);
		Map<String, ConfigText> overlays = new TreeMap<>();
		for (String site : sites.split(",")) {
			overlays.put(site, text(directory.resolve(site + ".yaml")));
		}
		ConfigFiles files = new ConfigFiles(text(directory.resolve("base.yaml")), overlays);
		Map<String, OfficeConfig> configs = new ConfigLoader().loadAll(files);
		assertEquals(String.join(",", configs.keySet()), sites);
		for (OfficeConfig config : configs.values()) {
			assertEquals(config.servers().size(), engines + 3);
			assertEquals(config.server("engine-1").orElseThrow().url(), "http://127.0.0.1:" + firstEnginePort);
			assertEquals(config.server("engine-" + engines).orElseThrow().url(),
					"http://127.0.0.1:" + (firstEnginePort + engines - 1));
			assertEquals(config.server("booking-3").orElseThrow().url(), "http://127.0.0.1:" + (firstBookingPort + 2));
			for (ServiceConfig service : config.services()) {
				service.routes()
					.stream()
					.filter((route) -> route.method().equals("POST"))
					.forEach((route) -> assertFalse(route.repeatable(), route.name()));
			}
		}
	}

	@DataProvider
	public Object[][] examples() {
		return new Object[][] { { "guild", "austin,corpus-christi,san-antonio", 8, 7101, 7201 },
				{ "cooperative", "benguet,ifugao,nueva-viscaya", 13, 7301, 7401 } };
	}

	private static ConfigText text(Path file) throws IOException {
		return new ConfigText(file.getFileName().toString(), Files.readString(file));
	}

}
