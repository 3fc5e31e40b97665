package org.persimmonrelay.entry

import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import org.junit.jupiter.api.Tag
import org.persimmonrelay.engine.EngineTimeouts
import org.persimmonrelay.standin.StandInEngineSettings
import org.persimmonrelay.standin.StreamFault
import org.persimmonrelay.standin.StreamFaultKind
import org.persimmonrelay.standin.TokenScript
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Completions over real sockets while engines drop connections, stop sending, or lose and reorder chunks. */
class CompletionResumeTest {
    @Test
    fun `a response resumes at its offset on another engine after the first one crashed`() = withEngines { f ->
        f.standIns[0].faults.enqueue(StreamFault(StreamFaultKind.DISCONNECT, 7))

        assertEquals(expected("one"), f.streamed("one"))
        assertEquals(2, f.standIns.sumOf { it.startedAttempts })
    }

    @Test
    fun `a stream that times out is retried elsewhere and the engine stays in use`() = withEngines { f ->
        f.standIns[0].faults.enqueue(StreamFault(StreamFaultKind.STALL, 7))

        assertEquals(expected("one"), f.streamed("one"))
        eventually { f.standIns[0].runningStreams == 0 }
        assertEquals(listOf(expected("two"), expected("three")), listOf(f.streamed("two"), f.streamed("three")))
        assertEquals(2, f.standIns[0].startedAttempts)
    }

    @Test
    fun `lost, late and repeated chunks do not change the responses`() = withEngines { f ->
        f.standIns.forEach {
            it.faults.lossRate = 0.002
            it.faults.duplicationRate = 0.1
            it.faults.reorderRate = 0.1
        }

        val prompts = (1..40).map { "prompt $it" }
        val responses = prompts.map { async { f.streamed(it) } }.awaitAll()

        assertEquals(prompts.map(::expected), responses)
        assertTrue(f.standIns.sumOf { it.startedAttempts } > prompts.size, "no attempt was retried")
    }

    @Test
    @Tag("known-red")
    fun `no caller loses a token when an engine host fails under load`() = withEngines(tokensPerSecond = 400.0) { f ->
        val prompts = (1..20).map { "prompt $it" }
        val responses = prompts.map { async { f.streamed(it) } }
        eventually { f.standIns[0].runningStreams > 5 }

        f.engineServers[0].crash()

        assertEquals(prompts.map(::expected), responses.awaitAll())
    }

    @Test
    fun `the number of attempts is limited and the response then ends with an error`() = withEngines { f ->
        f.standIns.forEach { engine -> repeat(4) { engine.faults.enqueue(StreamFault(StreamFaultKind.DISCONNECT, 1)) } }

        val text = f.chat(EntryFixture.body("one", stream = true)).bodyAsText()

        assertTrue("outcome_unknown" in text && "[DONE]" !in text, text)
        assertEquals(f.settings.maxAttempts.toLong(), f.standIns.sumOf { it.startedAttempts })
    }

    private suspend fun EntryFixture.streamed(prompt: String): String =
        SseText.of(chat(EntryFixture.body(prompt, stream = true)).bodyAsText())

    private fun expected(prompt: String): String {
        val rendered = EntryFixture.rendered(prompt)
        return TokenScript.output(rendered, TokenScript.naturalLength(rendered))
    }

    private fun withEngines(tokensPerSecond: Double = 0.0, test: suspend CoroutineScope.(EntryFixture) -> Unit) =
        EntryFixture(
            timeouts = EngineTimeouts(progress = 300.milliseconds),
            engines = 2,
            engineSettings = { StandInEngineSettings(it, listOf("m"), outputTokensPerSecond = tokensPerSecond) },
        ).run(test)
}
