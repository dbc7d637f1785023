package io.verbenacleat.router.stream;

/**
 * Where a stream was begun. Immutable.
 *
 * @param service the name of the service
 * @param version the software version of the server
 * @param workspace the name of the workspace of the caller, empty without one
 */
public record StreamOrigin(String service, String version, String workspace) {
}
