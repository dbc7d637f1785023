package io.verbenacleat.router.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

public class EventScannerTests {

	private static final String STREAM = "id: 7\ndata: a\n\nweights: 2\nid: 8\ndata: b\r\n\r\n: note\n\nid: 9\ndata: c";

	@Test
	public void lastIdIsTheIdOfTheLastCompleteEvent() {
		EventScanner scanner = new EventScanner();
		assertNull(scanner.lastId());
		int whole = scan(scanner, STREAM);
		assertEquals(scanner.lastId(), "8");
		assertEquals(STREAM.substring(whole), "id: 9\ndata: c");
	}

	@Test
	public void aDroppedPartialEventDoesNotAffectTheNextEvent() {
		EventScanner scanner = new EventScanner();
		scan(scanner, "id: 1\ndata: a\n\nid: 9");
		scanner.dropPartialEvent();
		scan(scanner, "id: 2\ndata: b\n\n");
		assertEquals(scanner.lastId(), "2");
		assertEquals(scanner.eventCount(), 2);
	}

	@Property(seed = "20261204", tries = 100)
	public void theResultDoesNotDependOnHowBytesAreSplit(@ForAll @IntRange(min = 1, max = 40) int piece) {
		EventScanner whole = new EventScanner();
		scan(whole, STREAM);
		EventScanner split = new EventScanner();
		for (int from = 0; from < STREAM.length(); from += piece) {
			scan(split, STREAM.substring(from, Math.min(STREAM.length(), from + piece)));
		}
		assertEquals(split.lastId(), whole.lastId());
		assertEquals(split.eventCount(), whole.eventCount());
	}

	private static int scan(EventScanner scanner, String text) {
		return scanner.scan(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
	}

}
