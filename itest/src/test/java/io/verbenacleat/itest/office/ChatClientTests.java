package io.verbenacleat.itest.office;

import java.util.List;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.errors.UnauthorizedException;
import com.openai.models.ChatCompletion;
import com.openai.models.ChatCompletionChunk;
import com.openai.models.ChatCompletionCreateParams;
import com.openai.models.ChatCompletionStreamOptions;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

/**
 * Guards against responses that a public chat client library cannot parse.
 */
@SuppressWarnings("NullAway.Init")
public class ChatClientTests {

	private OfficeFixture office;

	@BeforeClass
	public void start() throws Exception {
		this.office = OfficeFixture.start(1, 1);
	}

	@AfterClass(alwaysRun = true)
	public void stop() throws Exception {
		this.office.close();
	}

	@Test
	public void listsTheModels() {
		List<String> names = client(this.office.key).models()
			.list()
			.data()
			.stream()
			.map((model) -> model.id())
			.toList();
		assertEquals(names, List.of("quotes", "runaway"));
	}

	@Test
	public void readsACompletionWithoutStreaming() {
		ChatCompletion answer = client(this.office.key).chat().completions().create(params("pan", false));
		assertEquals(answer.choices().get(0).message().content().orElseThrow(), Caller.answer("pan", 9));
		assertEquals(answer.usage().orElseThrow().completionTokens(), 9);
	}

	@Test
	public void readsAStreamedCompletionWithUsage() {
		StringBuilder text = new StringBuilder();
		long usageTokens = 0;
		try (StreamResponse<ChatCompletionChunk> chunks = client(this.office.key).chat()
			.completions()
			.createStreaming(params("stream", true))) {
			for (ChatCompletionChunk chunk : (Iterable<ChatCompletionChunk>) chunks.stream()::iterator) {
				chunk.choices().forEach((choice) -> text.append(choice.delta().content().orElse("")));
				usageTokens = chunk.usage().map((usage) -> usage.completionTokens()).orElse(usageTokens);
			}
		}
		assertEquals(text.toString(), Caller.answer("stream", 9));
		assertEquals(usageTokens, 9);
	}

	@Test
	public void unknownKeyThrowsUnauthorizedException() {
		String unknown = this.office.key.substring(0, this.office.key.length() - 1)
				+ ((this.office.key.endsWith("x")) ? "y" : "x");
		expectThrows(UnauthorizedException.class,
				() -> client(unknown).chat().completions().create(params("no", false)));
	}

	private OpenAIClient client(String key) {
		return OpenAIOkHttpClient.builder().baseUrl(this.office.url(0) + "/v1").apiKey(key).maxRetries(0).build();
	}

	private static ChatCompletionCreateParams params(String word, boolean usage) {
		ChatCompletionCreateParams.Builder params = ChatCompletionCreateParams.builder()
			.model("quotes")
			.maxCompletionTokens(64)
			.addUserMessage("id=" + word + " answer=9");
		if (usage) {
			params.streamOptions(ChatCompletionStreamOptions.builder().includeUsage(true).build());
		}
		return params.build();
	}

}
