package io.verbenacleat.core.config;

import java.util.List;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Guards against texts for which the loader neither returns a configuration nor throws a
 * {@link ConfigException}, by way of mutated and random YAML.
 */
class ConfigLoaderPropertyTests {

	private static final List<String> FRAGMENTS = List.of("{", "}", "[", "]", ":", "- ", "\n", "  ", "&a ", "*a",
			"!!x ", "null", "~", "1e999", "99999999999999999999", "-1", "''", "\"", "name: ", "servers:", "sites: 3",
			"? ", "| ", "%YAML 9.9\n", "---\n", "...\n", "\u0000", "\ud800", "\t", "<<: ", "0x7fffffffffff",
			"2001-01-01");

	private final ConfigLoader loader = new ConfigLoader();

	@Property(tries = 1500, seed = "4711")
	void mutatedTextsGiveConfigOrConfigException(@ForAll("mutations") String base,
			@ForAll("mutations") String overlay) {
		tryLoad(base, overlay);
		tryLoad(ConfigTexts.BASE, overlay);
	}

	@Property(tries = 1500, seed = "4712")
	void generatedTextsGiveConfigOrConfigException(@ForAll("generated") String text) {
		tryLoad(text, "");
		tryLoad(ConfigTexts.BASE, text);
	}

	private void tryLoad(String base, String overlay) {
		try {
			this.loader.loadAll(ConfigTexts.files(base, overlay));
		}
		catch (ConfigException ex) {
			assert !ex.problems().isEmpty();
			assert ex.getMessage().lines().count() == ex.problems().size() : ex.getMessage();
		}
	}

	@Provide
	Arbitrary<String> mutations() {
		return Arbitraries.longs().map(ConfigLoaderPropertyTests::mutate);
	}

	@Provide
	Arbitrary<String> generated() {
		return Arbitraries.oneOf(Arbitraries.strings().ofMaxLength(200),
				Arbitraries.of(FRAGMENTS).list().ofMaxSize(40).map((fragments) -> String.join("", fragments)));
	}

	private static String mutate(long seed) {
		Random random = new Random(seed);
		StringBuilder text = new StringBuilder(ConfigTexts.BASE);
		for (int i = 0; i <= random.nextInt(4); i++) {
			int start = random.nextInt(text.length());
			int end = Math.min(text.length(), start + random.nextInt(12));
			text.replace(start, end, (random.nextBoolean()) ? FRAGMENTS.get(random.nextInt(FRAGMENTS.size())) : "");
		}
		return text.toString();
	}

}
