/**
 * Controllers that update the membership, the configuration and the agent status of an
 * entry, and detectors of lost hosts, agents and entries.
 */
@NullMarked
package io.verbenacleat.entry.member;

import org.jspecify.annotations.NullMarked;
