package io.verbenacleat.itest.office;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.verbenacleat.core.config.ConfigFiles;
import io.verbenacleat.core.config.ConfigText;

/**
 * Creates the configuration of the fleet under test. Stateless.
 */
final class OfficeConfigFiles {

	/** The limit of a request body, small so that a test can exceed it cheaply. */
	static final int MAX_BODY_BYTES = 100_000;

	/** The tokens that an engine may generate in excess while a stream is being cut. */
	static final int OVERRUN_TOKENS = 8;

	private OfficeConfigFiles() {
	}

	/**
	 * Creates the configuration files.
	 * @param servers the backend servers
	 * @param marker a number to show in the list of models as a model {@code marker-N}, 0
	 * for none
	 * @return the files
	 */
	static ConfigFiles files(Servers servers, long marker) {
		StringBuilder text = new StringBuilder("""
				office: pans
				region: south-texas
				sites:
				  - {name: austin, zone: tx-1}
				models:
				  - {name: quotes, maxAnswerTokens: 4096, defaultMaxAnswerTokens: 64, overrunTokens: 8}
				  - {name: runaway, maxAnswerTokens: 4096, defaultMaxAnswerTokens: 64, overrunTokens: 8}
				""");
		if (marker > 0) {
			text.append("  - {name: marker-").append(marker).append(", maxAnswerTokens: 16}\n");
		}
		text.append("""
				services:
				  - name: bookings
				    pathPrefix: /bookings
				    routes:
				      - {name: read, method: GET, path: /bookings/**, repeatable: true}
				      - {name: book, method: POST, path: /bookings/**, repeatable: false, priceTokens: 5}
				""");
		text.append("limits: {maxBodyBytes: ").append(MAX_BODY_BYTES).append("}\nservers:\n");
		for (int i = 0; i < servers.engineUrls().size(); i++) {
			text.append("  - {name: engine-")
				.append(i)
				.append(", kind: model-engine, url: '")
				.append(servers.engineUrls().get(i))
				.append("', site: austin, models: [quotes]}\n");
		}
		text.append("  - {name: runaway, kind: model-engine, url: '")
			.append(servers.runawayUrl())
			.append("', site: austin, models: [runaway]}\n  - {name: booking, kind: service, url: '")
			.append(servers.bookingUrl())
			.append("', site: austin, service: bookings}\n");
		return new ConfigFiles(new ConfigText("base.yaml", text.toString()), Map.of());
	}

	/**
	 * The base URLs of the backend servers. Immutable.
	 *
	 * @param engineUrls the URLs of the engines of the model {@code quotes}
	 * @param runawayUrl the URL of the engine that ignores {@code max_tokens}
	 * @param bookingUrl the URL of the booking service
	 */
	record Servers(List<String> engineUrls, String runawayUrl, String bookingUrl) {

		/**
		 * Returns the names of the backend servers in the configuration.
		 * @return the names
		 */
		List<String> names() {
			List<String> names = new ArrayList<>();
			for (int i = 0; i < this.engineUrls.size(); i++) {
				names.add("engine-" + i);
			}
			names.add("runaway");
			names.add("booking");
			return names;
		}

	}

}
