/**
 * Change notification: a row with a version for each topic, and a poller that reads the
 * topics whose version has increased.
 */
@NullMarked
package io.verbenacleat.core.head;

import org.jspecify.annotations.NullMarked;
