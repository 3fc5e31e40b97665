package org.persimmonrelay.entry

import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import org.persimmonrelay.engine.EngineTimeouts
import org.persimmonrelay.standin.StandInEngineSettings
import org.persimmonrelay.standin.StreamFault
import org.persimmonrelay.standin.StreamFaultKind
import org.persimmonrelay.standin.TokenScript
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Answers over real sockets while engines break, go silent or mix pieces up. */
class AnswerResumeTest {
    @Test
    fun `an answer goes on at its offset on another engine after the first one crashed`() = withEngines { f ->
        f.standIns[0].faults.enqueue(StreamFault(StreamFaultKind.DISCONNECT, 7))

        assertEquals(expected("one"), f.streamed("one"))
        assertEquals(2, f.standIns.sumOf { it.startedAttempts })
    }

    @Test
    fun `a stream whose connection goes silent is replaced and the engine keeps its other work`() = withEngines { f ->
        f.standIns[0].faults.enqueue(StreamFault(StreamFaultKind.STALL, 7))

        assertEquals(expected("one"), f.streamed("one"))
        eventually { f.standIns[0].runningStreams == 0 }
        assertEquals(listOf(expected("two"), expected("three")), listOf(f.streamed("two"), f.streamed("three")))
        assertEquals(2, f.standIns[0].startedAttempts)
    }

    @Test
    fun `lost, late and repeated pieces leave no trace in the answers`() = withEngines { f ->
        f.standIns.forEach {
            it.faults.lossRate = 0.002
            it.faults.duplicationRate = 0.1
            it.faults.reorderRate = 0.1
        }

        val prompts = (1..40).map { "prompt $it" }
        val answers = prompts.map { async { f.streamed(it) } }.awaitAll()

        assertEquals(prompts.map(::expected), answers)
        assertTrue(f.standIns.sumOf { it.startedAttempts } > prompts.size, "no attempt was replaced")
    }

    @Test
    fun `an engine host that dies under load costs no caller a token`() = withEngines(tokensPerSecond = 400.0) { f ->
        val prompts = (1..20).map { "prompt $it" }
        val answers = prompts.map { async { f.streamed(it) } }
        eventually { f.standIns[0].runningStreams > 5 }

        f.engineServers[0].crash()

        assertEquals(prompts.map(::expected), answers.awaitAll())
    }

    @Test
    fun `no attempt goes beyond the bound and the end is an error, not a short answer`() = withEngines { f ->
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
