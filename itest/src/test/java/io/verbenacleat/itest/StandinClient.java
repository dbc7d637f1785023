package io.verbenacleat.itest;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.verbenacleat.core.json.Json;

/**
 * Reads the records of the stand-ins and sets the faults of the stand-in platform.
 * Thread-safe; blocks.
 */
final class StandinClient {

	private static final HttpClient CLIENT = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(5))
		.build();

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private final Map<String, Integer> ports;

	/**
	 * Creates a client.
	 * @param ports the ports by name of the stand-in
	 */
	StandinClient(Map<String, Integer> ports) {
		this.ports = Map.copyOf(ports);
	}

	/**
	 * Reads the records of a stand-in.
	 * @param name the name of the stand-in
	 * @return the records
	 * @throws IOException when they cannot be read
	 */
	JsonNode records(String name) throws IOException {
		return Json.mapper().readTree(send(HttpRequest.newBuilder(uri(name, "/standin/records")).build()).body());
	}

	/**
	 * Changes the faults of the platform.
	 * @param change a JSON object with the settings to change
	 * @throws IOException when it is not accepted
	 */
	void setPlatformFaults(String change) throws IOException {
		HttpRequest request = HttpRequest.newBuilder(uri("platform", "/standin/faults"))
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(change))
			.build();
		if (send(request).statusCode() != 200) {
			throw new IOException("Stand-in platform rejected the change of faults: " + change);
		}
	}

	/**
	 * Sends a GET request and returns the status of the response.
	 * @param uri the URI
	 * @return the HTTP status
	 * @throws IOException when there is no response
	 */
	static int status(URI uri) throws IOException {
		return send(HttpRequest.newBuilder(uri).timeout(TIMEOUT).build()).statusCode();
	}

	private URI uri(String name, String path) {
		return URI.create("http://127.0.0.1:" + this.ports.getOrDefault(name, 0) + path);
	}

	private static HttpResponse<String> send(HttpRequest request) throws IOException {
		try {
			return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("Interrupted", ex);
		}
	}

}
