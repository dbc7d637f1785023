package io.verbenacleat.bench.grants;

/**
 * The crash of the holder in a slot; a new one starts there later. Immutable.
 *
 * @param atMs the time, in milliseconds since the start
 * @param site the index of the site
 * @param slot the index of the slot at the site
 */
record HolderCrash(long atMs, int site, int slot) {
}
