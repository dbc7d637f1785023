package io.verbenacleat.core.config;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * One stored version of the configuration, the rows {@code config/current} and
 * {@code config/<n>}. Immutable.
 *
 * @param number the version, from 1
 * @param baseText the text of the base file
 * @param overlayTexts the texts of the overlays by site
 * @param author who applied it
 * @param applyId the mark of the one apply that wrote it
 * @param appliedAtMs when it was applied, in milliseconds since the epoch
 */
public record StoredConfig(long number, String baseText, Map<String, String> overlayTexts, String author,
		String applyId, long appliedAtMs) {

	/**
	 * Creates a version from a copy of the map.
	 */
	public StoredConfig {
		overlayTexts = (overlayTexts != null) ? Collections.unmodifiableMap(new TreeMap<>(overlayTexts)) : Map.of();
	}

	/**
	 * Returns the files of this version.
	 * @return the files, named after the version and the site
	 */
	public ConfigFiles files() {
		Map<String, ConfigText> overlays = new TreeMap<>();
		this.overlayTexts.forEach((site, text) -> overlays.put(site,
				new ConfigText("version " + this.number + " overlay " + site, text)));
		return new ConfigFiles(new ConfigText("version " + this.number + " base", this.baseText), overlays);
	}

}
