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
    fun `a resumed stream continues the same text and a repeated prompt is found in the cache`() {
        val engine = engine()
        val full = chunks(engine, request("a".repeat(200)))
        val rest = chunks(engine, request("a".repeat(200)).copy(attempt = 2, resumeAt = 5))

        assertEquals(full.drop(5).map { it.text }, rest.map { it.text })
        assertEquals(0, full.first().cachedTokens)
        assertEquals(48, rest.first().cachedTokens)
    }

    @Test
    fun `only an engine that checks fencing tokens refuses a command of an older epoch`() {
        val results =
            listOf(true, false).map { checks ->
                val engine = engine(checks)
                engine.execute(change("o1", 5))
                clock.advance(5.seconds)
                engine.execute(change("o2", 4))
            }

        assertEquals(listOf(EngineCommandResult.Fenced(5), EngineCommandResult.Accepted), results)
    }

    @Test
    fun `during a change the engine refuses requests and commands, and a repeated command has no effect`() {
        val engine = engine()
        engine.execute(change("o1", 1))

        assertIs<EngineCommandResult.Busy>(engine.execute(change("o2", 1)))
        assertEquals(EngineCommandResult.Accepted, engine.execute(change("o1", 1)))
        assertTrue(engine.generate(request("x")).isLeft())
        assertEquals(listOf(OperationId("o1")), engine.executedCommands.map { it.command.operation })
        clock.advance(5.seconds)
        assertTrue(engine.generate(request("x")).isRight())
    }

    @Test
    fun `load reports are delayed by the report lag`() {
        val engine = engine()
        engine.loadReport()
        chunks(engine, request("x"))
        val early = engine.loadReport().knownAttempts
        clock.advance(300.milliseconds)

        assertEquals(0, early)
        assertEquals(1, engine.loadReport().knownAttempts)
    }

    private fun chunks(engine: StandInEngine, request: GenerateRequest): List<OutputChunk> =
        runBlocking { engine.generate(request).getOrNull()!!.toList() }

    private fun engine(checks: Boolean = true) =
        StandInEngine(StandInEngineSettings("e", listOf("m"), checksFencing = checks), clock)

    private fun request(prompt: String) = GenerateRequest(RequestId("r"), 1, "m", prompt, 1_000)

    private fun change(operation: String, epoch: Long) =
        EngineCommand.ChangeRole(OperationId(operation), epoch, EngineRole.DECODE)
}
