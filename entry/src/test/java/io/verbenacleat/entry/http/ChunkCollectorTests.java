package io.verbenacleat.entry.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.verbenacleat.core.json.Json;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against completions that lose or reorder content of the chunks of an engine.
 */
public class ChunkCollectorTests {

	@Test
	public void joinsTextToolCallsAndReason() throws Exception {
		ChunkCollector collector = new ChunkCollector();
		collector.add(chunk("{\"role\":\"assistant\",\"content\":\"two \"}", "null"));
		collector.add(chunk("{\"content\":null,\"reasoning\":\"be\"}", "null"));
		collector.add(chunk("{\"content\":\"words\",\"reasoning\":\"cause\"}", "null"));
		collector
			.add(chunk("{\"tool_calls\":[{\"index\":0,\"id\":\"c\",\"function\":{\"arguments\":\"{\"}}]}", "null"));
		collector.add(chunk("{\"tool_calls\":[{\"index\":0,\"function\":{\"arguments\":\"}\"}}]}", "\"tool_calls\""));
		JsonNode choice = collector.toCompletion("stop").path("choices").path(0);
		assertEquals(choice.path("message").path("content").asText(), "two words");
		assertEquals(choice.path("message").path("reasoning").asText(), "because");
		JsonNode call = choice.path("message").path("tool_calls").path(0);
		assertEquals(call.path("function").path("arguments").asText(), "{}");
		assertEquals(choice.path("finish_reason").asText(), "tool_calls");
	}

	@Test
	public void joinsManyChunks() throws Exception {
		ChunkCollector collector = new ChunkCollector();
		String text = "0123456789".repeat(100);
		for (int i = 0; i < 20_000; i++) {
			collector.add(chunk("{\"content\":\"" + text + "\"}", "null"));
		}
		JsonNode message = collector.toCompletion("stop").path("choices").path(0).path("message");
		assertEquals(message.path("content").textValue(), text.repeat(20_000));
	}

	private static JsonNode chunk(String delta, String finishReason) throws Exception {
		return Json.mapper()
			.readTree("{\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":" + delta + ",\"finish_reason\":"
					+ finishReason + "}]}");
	}

}
