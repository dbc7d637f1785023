package io.verbenacleat.core.config;

import java.util.Map;

/**
 * A small valid base file, and configuration files built from texts, for tests.
 */
final class ConfigTexts {

	static final String BASE = """
			office: pans
			region: south-texas
			sites:
			  - {name: austin, zone: tx-1}
			  - {name: san-antonio, zone: tx-2}
			models:
			  - {name: quotes, maxAnswerTokens: 4096}
			services:
			  - name: bookings
			    pathPrefix: /bookings
			    routes:
			      - {name: read, method: GET, path: /bookings/**, repeatable: true}
			servers:
			  - {name: engine-1, kind: model-engine, url: 'http://127.0.0.1:7101', site: austin, models: [quotes]}
			  - {name: booking-1, kind: service, url: 'http://127.0.0.1:7201', site: austin, service: bookings}
			""";

	private ConfigTexts() {
	}

	static ConfigFiles files(String base) {
		return new ConfigFiles(new ConfigText("base.yaml", base), Map.of());
	}

	static ConfigFiles files(String base, String overlay) {
		return new ConfigFiles(new ConfigText("base.yaml", base),
				Map.of("austin", new ConfigText("austin.yaml", overlay)));
	}

}
