package io.verbenacleat.core.config;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The base file of an office and the overlays of its sites. Immutable.
 *
 * @param base the base file
 * @param overlays the overlays by site; a site without one uses the base alone
 */
public record ConfigFiles(ConfigText base, Map<String, ConfigText> overlays) {

	/**
	 * Creates files from a copy of the map.
	 */
	public ConfigFiles {
		overlays = Collections.unmodifiableMap(new TreeMap<>(overlays));
	}

}
