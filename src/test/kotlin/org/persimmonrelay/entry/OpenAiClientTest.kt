package org.persimmonrelay.entry

import com.openai.client.OpenAIClient
import com.openai.client.okhttp.OpenAIOkHttpClient
import com.openai.errors.NotFoundException
import com.openai.errors.UnauthorizedException
import com.openai.models.chat.completions.ChatCompletionCreateParams
import com.openai.models.chat.completions.ChatCompletionStreamOptions
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.persimmonrelay.standin.TokenScript
import kotlin.jvm.optionals.getOrNull
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** Calls the entry with the official OpenAI client library. */
class OpenAiClientTest {
    @Test
    fun `a chat completion has the engine's text, finish reason and usage`() = withClient { client ->
        val completion = client.chat().completions().create(question().build())

        val choice = completion.choices().single()
        assertEquals(expected(), choice.message().content().getOrNull())
        assertEquals("stop", choice.finishReason().asString())
        val usage = completion.usage().get()
        assertEquals(TokenScript.naturalLength(RENDERED).toLong(), usage.completionTokens())
        assertEquals(usage.promptTokens() + usage.completionTokens(), usage.totalTokens())
    }

    @Test
    fun `a streamed chat completion has the same text and ends with the usage`() = withClient { client ->
        val options = ChatCompletionStreamOptions.builder().includeUsage(true).build()

        val chunks =
            client.chat().completions().createStreaming(question().streamOptions(options).build()).use { response ->
                response.stream().toList()
            }

        val text = chunks.flatMap { it.choices() }.mapNotNull { it.delta().content().getOrNull() }.joinToString("")
        val finish = chunks.flatMap { it.choices() }.mapNotNull { it.finishReason().getOrNull() }.single()
        assertEquals(expected(), text)
        assertEquals("stop", finish.asString())
        assertTrue(chunks.last().usage().get().completionTokens() > 0)
    }

    @Test
    fun `a completion that reaches the token limit has the finish reason length`() = withClient { client ->
        val completion = client.chat().completions().create(question().maxCompletionTokens(5).build())

        assertEquals(TokenScript.answer(RENDERED, 5), completion.choices().single().message().content().getOrNull())
        assertEquals("length", completion.choices().single().finishReason().asString())
    }

    @Test
    fun `a wrong key is an authentication error`() = withClient("wrong") { client ->
        assertFailsWith<UnauthorizedException> { client.chat().completions().create(question().build()) }
    }

    @Test
    fun `an unknown model is a not-found error`() = withClient { client ->
        assertFailsWith<NotFoundException> {
            client.chat().completions().create(question().model("no-such-model").build())
        }
    }

    @Test
    fun `the list of models has the deployments of the workspace`() = withClient { client ->
        assertEquals(listOf(EntryFixture.MODEL), client.models().list().data().map { it.id() })
    }

    private fun question() = ChatCompletionCreateParams.builder().model(EntryFixture.MODEL).addUserMessage(PROMPT)

    private fun expected() = TokenScript.answer(RENDERED, TokenScript.naturalLength(RENDERED))

    private fun withClient(key: String = EntryFixture.KEY, test: (OpenAIClient) -> Unit) = EntryFixture().run {
        val client =
            OpenAIOkHttpClient.builder().apiKey(key).baseUrl("${it.url}/v1").maxRetries(0).build()
        try {
            withContext(Dispatchers.IO) { test(client) }
        } finally {
            client.close()
        }
    }

    private companion object {
        const val PROMPT = "Draft a delivery sheet for the lake venue."
        val RENDERED = EntryFixture.rendered(PROMPT)
    }
}
