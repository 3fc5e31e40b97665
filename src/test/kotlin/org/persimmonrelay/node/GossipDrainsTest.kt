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
class GossipDrainsTest {
    private val gossip = FakeGossip()
    private var running = 1

    @Test
    fun `a drain is seen by other nodes at once and ends when the engine has been idle for long enough`() = runTest {
        val drains = drains("n1")
        val other = drains("n2")

        val drained = async { drains.drain(ENGINE) }
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
    fun `a drain ends at its bound although the engine is still busy`() = runTest {
        assertTrue(drains("n1").drain(ENGINE))

        assertEquals(BOUND.inWholeSeconds, currentTime.milliseconds.inWholeSeconds)
    }

    @Test
    fun `an engine takes work again when it is readmitted or the draining node is gone`() = runTest {
        val drains = drains("n1")
        val other = drains("n2")
        drains.drain(ENGINE)
        drains.readmit(ENGINE)
        val readmitted = other.draining.first()
        drains.drain(ENGINE)

        gossip.forget("n1")

        assertEquals(emptySet(), readmitted)
        assertEquals(emptySet(), other.draining.first())
    }

    private fun TestScope.drains(node: String) = GossipDrains(gossip.of(node), VirtualClock(this), { report() }, BOUND)

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
        val BOUND = 30.seconds
    }
}
