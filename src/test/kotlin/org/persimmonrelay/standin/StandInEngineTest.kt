package org.persimmonrelay.standin

import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.ManualClock
import org.persimmonrelay.engine.EngineCommand
import org.persimmonrelay.engine.EngineCommandResult
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.engine.OutputChunk
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StandInEngineTest {
    private val clock = ManualClock()

    @Test
    fun `a resumed answer continues the same text and a repeated prompt is found in the cache`() {
        val engine = engine()
        val whole = pieces(engine, request("a".repeat(200)))
        val rest = pieces(engine, request("a".repeat(200)).copy(attempt = 2, resumeAt = 5))

        assertEquals(whole.drop(5).map { it.text }, rest.map { it.text })
        assertEquals(0, whole.first().cachedTokens)
        assertEquals(48, rest.first().cachedTokens)
    }

    @Test
    fun `an engine that checks fencing refuses an older epoch and one that doesn't obeys it`() {
        val answers =
            listOf(true, false).map { checks ->
                val engine = engine(checks)
                engine.order(change("o1", 5))
                clock.advance(5.seconds)
                engine.order(change("o2", 4))
            }

        assertEquals(listOf(EngineCommandResult.Fenced(5), EngineCommandResult.Accepted), answers)
    }

    @Test
    fun `during a change the engine is busy and refuses work, and a repeated order has no effect`() {
        val engine = engine()
        engine.order(change("o1", 1))

        assertIs<EngineCommandResult.Busy>(engine.order(change("o2", 1)))
        assertEquals(EngineCommandResult.Accepted, engine.order(change("o1", 1)))
        assertTrue(engine.generate(request("x")).isLeft())
        assertEquals(listOf(OperationId("o1")), engine.obeyed.map { it.order.operation })
        clock.advance(5.seconds)
        assertTrue(engine.generate(request("x")).isRight())
    }

    @Test
    fun `load reports lag`() {
        val engine = engine()
        engine.load()
        pieces(engine, request("x"))
        val early = engine.load().knownAttempts
        clock.advance(300.milliseconds)

        assertEquals(0, early)
        assertEquals(1, engine.load().knownAttempts)
    }

    private fun pieces(engine: StandInEngine, request: GenerateRequest): List<OutputChunk> =
        runBlocking { engine.generate(request).getOrNull()!!.toList() }

    private fun engine(checks: Boolean = true) =
        StandInEngine(StandInEngineSettings("e", listOf("m"), checksFencing = checks), clock)

    private fun request(prompt: String) = GenerateRequest(RequestId("r"), 1, "m", prompt, 1_000)

    private fun change(operation: String, epoch: Long) =
        EngineCommand.ChangeRole(OperationId(operation), epoch, EngineRole.DECODE)
}
