package io.verbenacleat.bench.grants;

/**
 * The crash of the holder in a slot. A replacement starts in the same slot later.
 * Immutable.
 *
 * @param atMs the time of the crash, in milliseconds since the start of the run
 * @param site the index of the site
 * @param slot the index of the slot at the site
 */
record HolderCrash(long atMs, int site, int slot) {
}
