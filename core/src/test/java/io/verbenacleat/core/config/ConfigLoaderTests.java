package io.verbenacleat.core.config;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Guards against overlays that replace values they do not contain, and against invalid
 * files that are accepted or rejected with an unclear message.
 */
public class ConfigLoaderTests {

	private final ConfigLoader loader = new ConfigLoader();

	@Test
	public void fillsDefaults() throws ConfigException {
		OfficeConfig config = this.loader.load(3, ConfigTexts.files(ConfigTexts.BASE), "austin");
		assertEquals(config.version(), 3);
		assertEquals(config.limits(), LimitsConfig.DEFAULT);
		assertEquals(config.budget(), BudgetConfig.DEFAULT);
		assertEquals(config.routing(), RoutingConfig.DEFAULT);
		assertEquals(config.models().get(0), new ModelConfig("quotes", 4096, 4096, 2048, 32));
	}

	// Guards against an adapter without the token bounds of its model, since requests for
	// it would then reserve the wrong number of tokens.
	@Test
	public void findsAdapterWithTokenBoundsOfItsModel() throws ConfigException {
		String base = ConfigTexts.BASE.replace("models: [quotes]",
				"models: [quotes], role: decode, adapters: [{name: brief, model: quotes, version: '2'}]");
		OfficeConfig config = this.loader.load(3, ConfigTexts.files(base), "austin");
		BackendServerConfig engine = config.server("engine-1").orElseThrow();
		assertEquals(engine.adapters(), List.of(new AdapterConfig("brief", "quotes", "2")));
		assertEquals(engine.role(), "decode");
		assertTrue(engine.serves("brief"));
		assertEquals(config.modelOrAdapter("brief").orElseThrow(), new ModelConfig("brief", 4096, 4096, 2048, 32));
		assertEquals(config.modelAndAdapterNames(), List.of("quotes", "brief"));
	}

	@Test
	public void mergesOverlayByNameForItsSiteOnly() throws ConfigException {
		ConfigFiles files = ConfigTexts.files(ConfigTexts.BASE, """
				limits: {maxInProgress: 7}
				servers:
				  - {name: engine-1, url: 'http://127.0.0.1:9999'}
				  - {name: engine-2, kind: model-engine, url: 'http://127.0.0.1:7102', site: austin, models: [quotes]}
				""");
		OfficeConfig austin = this.loader.load(0, files, "austin");
		assertEquals(austin.limits().maxInProgress(), 7);
		assertEquals(austin.limits().retryAfterMs(), LimitsConfig.DEFAULT.retryAfterMs());
		assertEquals(austin.servers().stream().map(BackendServerConfig::name).toList().toString(),
				"[engine-1, booking-1, engine-2]");
		assertEquals(austin.servers().get(0).url(), "http://127.0.0.1:9999");
		assertEquals(austin.servers().get(0).models().toString(), "[quotes]");
		OfficeConfig sanAntonio = this.loader.load(0, files, "san-antonio");
		assertEquals(sanAntonio.servers().get(0).url(), "http://127.0.0.1:7101");
	}

	@Test
	public void readsRoutingAndRejectsLoadFactorBelowOne() throws ConfigException {
		ConfigFiles files = ConfigTexts.files(ConfigTexts.BASE,
				"routing: {policy: least-loaded, prefixBlocks: 8, loadFactor: 1.5}\n");
		assertEquals(this.loader.load(0, files, "austin").routing(),
				new RoutingConfig(RoutingConfig.Policy.LEAST_LOADED, 8, 1.5));
		ConfigFiles bad = ConfigTexts.files(ConfigTexts.BASE, "routing: {policy: random, loadFactor: 0.9}\n");
		ConfigException ex = expectThrows(ConfigException.class, () -> this.loader.loadAll(bad));
		assertEquals(ex.problems().stream().map(ConfigProblem::path).sorted().toList().toString(),
				"[routing.loadFactor, routing.policy]");
	}

	@Test
	public void reportsAllProblemsWithOneLineEach() {
		ConfigFiles files = ConfigTexts.files(
				ConfigTexts.BASE.replace("maxAnswerTokens: 4096", "maxAnswerTokens: 0")
					.replace("site: austin, models", "site: dallas, models"),
				"limits: {speed: 1, maxInProgress: many}\n");
		ConfigException ex = expectThrows(ConfigException.class, () -> this.loader.loadAll(files));
		assertEquals(ex.problems().size(), 3, ex.getMessage());
		assertEquals(ex.getMessage().lines().count(), 3);
	}

	@Test
	public void reportsAllMissingKeysOfBaseWithoutSites() {
		ConfigException ex = expectThrows(ConfigException.class,
				() -> this.loader.loadAll(ConfigTexts.files("limits: {maxInProgress: 0}\n")));
		assertEquals(ex.problems().stream().map(ConfigProblem::path).sorted().toList().toString(),
				"[limits.maxInProgress, office, region, servers, sites]");
	}

	@Test(dataProvider = "badBases")
	public void problemNamesFilePathFoundAndAllowed(String from, String to, String line) {
		ConfigFiles files = ConfigTexts.files(ConfigTexts.BASE.replace(from, to));
		ConfigException ex = expectThrows(ConfigException.class, () -> this.loader.loadAll(files));
		assertTrue(ex.getMessage().lines().anyMatch((found) -> found.startsWith(line)), ex.getMessage());
	}

	@DataProvider
	public Object[][] badBases() {
		return new Object[][] {
				{ "maxAnswerTokens: 4096", "maxAnswerTokens: 0",
						"base.yaml: models[quotes].maxAnswerTokens: found number '0', allowed is an integer from 1" },
				{ "maxAnswerTokens: 4096", "maxAnswerTokens: '5'",
						"base.yaml: models[quotes].maxAnswerTokens: found string '5', allowed is an integer from 1" },
				{ "repeatable: true", "priceTokens: 1",
						"base.yaml: services[bookings].routes[read].repeatable: found nothing, allowed is true or" },
				{ "kind: model-engine", "kind: gpu",
						"base.yaml: servers[engine-1].kind: found string 'gpu', allowed is one of model-engine, service" },
				{ "office: pans", "office: pans\nspeed: 1",
						"base.yaml: speed: found an unknown key, allowed is one of the keys office, region, sites" },
				{ "office: pans", "", "base.yaml: office: found nothing, allowed is 1 to 63" },
				{ "office: pans", "office: \"pans\\n\"",
						"base.yaml: office: found string 'pans ', allowed is 1 to 63" },
				{ "models: [quotes]", "models: [other]",
						"base.yaml: servers[engine-1].models: found 'other', allowed is one of quotes" },
				{ "models: [quotes]", "service: bookings",
						"base.yaml: servers[engine-1].models: found nothing, allowed" },
				{ "models: [quotes]", "models: [quotes], adapters: [{name: brief, model: other, version: '1'}]",
						"base.yaml: servers[engine-1].adapters[brief].model: found 'other', allowed is one of quotes" },
				{ "models: [quotes]", "models: [quotes], adapters: [{name: quotes, model: quotes, version: '1'}]",
						"base.yaml: servers[engine-1].adapters[quotes].name: found 'quotes', allowed is a name" },
				{ "models: [quotes]", "models: [quotes], adapters: [{name: brief, model: quotes}]",
						"base.yaml: servers[engine-1].adapters[brief].version: found nothing, allowed" },
				{ "service: bookings}", "service: bookings, role: prefill}",
						"base.yaml: servers[booking-1].role: found 'prefill', allowed is nothing for" },
				{ "service: bookings}", "service: payments}",
						"base.yaml: servers[booking-1].service: found 'payments', allowed is one of bookings" },
				{ "site: austin, service", "site: dallas, service",
						"base.yaml: servers[booking-1].site: found 'dallas', allowed is one of austin, san-antonio" },
				{ "path: /bookings/**", "path: /other/**",
						"base.yaml: services[bookings].routes[read].path: found '/other/**', allowed is a path under" },
				{ "path: /bookings/**", "path: /bookings/**/a",
						"base.yaml: services[bookings].routes[read].path: found '/bookings/**/a', allowed is * as" },
				{ "name: booking-1", "name: engine-1",
						"base.yaml: servers[1].name: found 'engine-1' again, allowed is a name" },
				{ "office: pans", "office: pans\noffice: pots", "base.yaml: line 2: found Duplicate field 'office'" },
				{ "office: pans", "office: &a pans\nregion: *a", "base.yaml: line 1: found an anchor or alias" },
				{ "office: pans", "office: [", "base.yaml: line " },
				{ "office: pans", "office: " + "[".repeat(200), "base.yaml: line " },
				{ "office: pans", "office: pans\n---\n", "base.yaml: line " },
				{ "office: pans", "# " + "x".repeat(1024 * 1024), "base.yaml: /: found 1049" } };
	}

	@Test
	public void overlayProblemsNameTheOverlay() {
		ConfigException unknown = expectThrows(ConfigException.class,
				() -> this.loader.load(0, ConfigTexts.files(ConfigTexts.BASE, "colour: red\n"), "austin"));
		assertTrue(unknown.getMessage().startsWith("austin.yaml: colour: found an unknown key"), unknown.getMessage());
		ConfigException reference = expectThrows(ConfigException.class, () -> this.loader.load(0,
				ConfigTexts.files(ConfigTexts.BASE, "servers: [{name: engine-1, site: dallas}]\n"), "austin"));
		assertTrue(reference.getMessage().startsWith("austin.yaml: servers[engine-1].site: found 'dallas'"),
				reference.getMessage());
	}

	@Test
	public void rejectsUnknownSite() {
		ConfigException ex = expectThrows(ConfigException.class,
				() -> this.loader.load(0, ConfigTexts.files(ConfigTexts.BASE), "dallas"));
		assertEquals(ex.getMessage(),
				"base.yaml: sites: found no site 'dallas', allowed is one of austin, san-antonio");
	}

}
