package org.persimmonrelay.node

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.ServerId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class GossipServerDrainerTest {
    private val gossip = FakeGossip()
    private var running = 1

    @Test
    fun `a drain is published immediately and ends when the engine has been idle for the minimum time`() = runTest {
        val drainer = drainer("n1")
        val other = drainer("n2")

        val drained = async { drainer.drain(ENGINE) }
        runCurrent()
        val seen = other.draining.first()
        testScheduler.advanceTimeBy(10.seconds)
        val whileBusy = drained.isCompleted
        running = 0
        val idleSince = currentTime

        assertEquals(setOf(ENGINE), seen)
        assertFalse(whileBusy)
        assertTrue(drained.await())
        assertTrue((currentTime - idleSince).milliseconds >= 4.seconds)
    }

    @Test
    fun `a drain ends at its timeout although the engine is still busy`() = runTest {
        assertTrue(drainer("n1").drain(ENGINE))

        assertEquals(TIMEOUT.inWholeSeconds, currentTime.milliseconds.inWholeSeconds)
    }

    @Test
    fun `an engine is no longer draining after it is readmitted or the draining node is gone`() = runTest {
        val drainer = drainer("n1")
        val other = drainer("n2")
        drainer.drain(ENGINE)
        drainer.readmit(ENGINE)
        val readmitted = other.draining.first()
        drainer.drain(ENGINE)

        gossip.removeNode("n1")

        assertEquals(emptySet(), readmitted)
        assertEquals(emptySet(), other.draining.first())
    }

    private fun TestScope.drainer(node: String) =
        GossipServerDrainer(gossip.of(node), VirtualClock(this), { report() }, TIMEOUT)

    private fun report() = EngineLoadReport(
        server = ENGINE,
        incarnation = "1",
        sequence = 1,
        role = EngineRole.MIXED,
        models = emptyList(),
        queuedPromptTokens = 0,
        runningRequests = running,
        remainingOutputTokens = 0,
        kvTokensUsed = 0,
        kvTokensTotal = 1,
    )

    private class VirtualClock(private val scope: TestScope) : Clock {
        override fun now() = Moment(scope.currentTime.milliseconds.inWholeNanoseconds)

        override fun wallMillis() = scope.currentTime
    }

    private companion object {
        val ENGINE = ServerId("engine")
        val TIMEOUT = 30.seconds
    }
}
