package io.verbenacleat.core.config;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The base file of an office and the overlays of its sites. Immutable.
 *
 * @param base the base file
 * @param overlays the overlays by site; a site without an overlay uses the base file only
 */
public record ConfigFiles(ConfigText base, Map<String, ConfigText> overlays) {

	/**
	 * Creates files with a copy of the map.
	 */
	public ConfigFiles {
		overlays = Collections.unmodifiableMap(new TreeMap<>(overlays));
	}

}
