package io.verbenacleat.ctl;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * The commands on one kind of object. Immutable.
 *
 * @param name the name of the group
 * @param summary the purpose of the group
 * @param commands the factories of the commands by name
 */
record CommandGroup(String name, String summary, Map<String, Supplier<Command>> commands) {

	CommandGroup {
		commands = new TreeMap<>(commands);
	}

}
