package io.verbenacleat.core.config;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * One stored version of the configuration, the content of the rows {@code config/current}
 * and {@code config/<number>}. Immutable.
 *
 * @param number the number of the version, from 1
 * @param baseText the YAML text of the base file
 * @param overlayTexts the YAML texts of the overlays by site; {@code null} in a row means
 * none
 * @param author who applied the version
 * @param applyId the unique id of the apply operation that wrote the version
 * @param appliedAtMs when the version was applied, in milliseconds since the epoch
 */
public record StoredConfig(long number, String baseText, Map<String, String> overlayTexts, String author,
		String applyId, long appliedAtMs) {

	/**
	 * Creates a version with a copy of the map.
	 */
	public StoredConfig {
		overlayTexts = (overlayTexts != null) ? Collections.unmodifiableMap(new TreeMap<>(overlayTexts)) : Map.of();
	}

	/**
	 * Returns the files of this version.
	 * @return the files; their names state the version and the site
	 */
	public ConfigFiles files() {
		Map<String, ConfigText> overlays = new TreeMap<>();
		this.overlayTexts.forEach((site, text) -> overlays.put(site,
				new ConfigText("version " + this.number + " overlay " + site, text)));
		return new ConfigFiles(new ConfigText("version " + this.number + " base", this.baseText), overlays);
	}

}
