package io.verbenacleat.router.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

import io.verbenacleat.router.LoadReportFormat;
import io.verbenacleat.router.balance.LoadReport;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class LoadPollerTests {

	// Guards against load polls that use up the request rate of a server.
	@Test
	public void aServerThatLimitsRequestsIsNotPolled() throws IOException {
		FakeServer.Script limited = (request, connection, out) -> out
			.write("HTTP/1.1 200 OK\r\nTest-Limit: 2.5\r\nContent-Length: 1\r\n\r\n3".getBytes(StandardCharsets.UTF_8));
		FakeServer.Script unlimited = (request, connection, out) -> out
			.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n3".getBytes(StandardCharsets.UTF_8));
		try (RelayFixture fixture = new RelayFixture(limited, unlimited)) {
			fixture.configureModelService();
			fixture.servers.forEach((server) -> fixture.relay.states().state(server.registration()));
			try (LoadPoller poller = fixture.startPolling(new SingleNumberFormat())) {
				assertTrue(RelayFixture.await(() -> fixture.servers.get(1).requests.size() >= 4));
			}
			assertEquals(fixture.servers.get(0).requests.size(), 1);
		}
	}

	/** Load reports that consist of the number of requests. */
	static final class SingleNumberFormat implements LoadReportFormat {

		@Override
		public String path() {
			return "/load";
		}

		@Override
		public Optional<LoadReport> parseReport(byte[] body) {
			return Optional.of(LoadReport.ofRequests(Integer.parseInt(new String(body, StandardCharsets.UTF_8))));
		}

		@Override
		public OptionalLong parseStartTimeMs(byte[] body) {
			return OptionalLong.empty();
		}

	}

}
