package org.persimmonrelay.standin

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerFailure
import org.persimmonrelay.peer.PeerMethod
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

class FakePeerNetworkTest {
    private val a = PeerAddress(NodeId("a"), Incarnation("a1"), "127.0.0.1", 1)
    private val b = PeerAddress(NodeId("b"), Incarnation("b1"), "127.0.0.1", 2)
    private val echo = PeerMethod("echo", Text.serializer(), Text.serializer())
    private var served = 0

    @Test
    fun `a call returns the response`() = runTest {
        val (_, client) = pair()

        assertEquals(Text("hi").right(), client.call(b, echo, Text("hi"), 1.seconds))
    }

    @Test
    fun `calls time out during a partition and succeed after it is healed`() = runTest {
        val (hub, client) = pair()
        hub.partition(setOf(a.node))

        assertIs<PeerFailure.TimedOut>(failure(client.call(b, echo, Text("hi"), 1.seconds)))
        hub.heal()

        assertEquals(Text("hi").right(), client.call(b, echo, Text("hi"), 1.seconds))
    }

    @Test
    fun `a restarted node rejects calls to its previous incarnation`() = runTest {
        val (hub, client) = pair()
        hub.join(b.copy(incarnation = Incarnation("b2")))

        assertIs<PeerFailure.Rejected>(failure(client.call(b, echo, Text("hi"), 1.seconds)))
    }

    @Test
    fun `a stopped node is unreachable and a duplicated request runs the handler twice`() = runTest {
        val (hub, client) = pair()
        hub.duplication = 1.0
        client.call(b, echo, Text("hi"), 1.seconds)
        hub.node(b.node)?.stop()

        assertEquals(2, served)
        assertIs<PeerFailure.Unreachable>(failure(client.call(b, echo, Text("hi"), 1.seconds)))
    }

    @Test
    fun `a paused node handles a request only after it resumes`() = runTest {
        val (hub, client) = pair()
        val target = checkNotNull(hub.node(b.node))
        target.pause()
        launch { client.call(b, echo, Text("late"), 1.seconds) }
        advanceTimeBy(2.seconds)
        assertEquals(0, served)

        target.resume()
        advanceTimeBy(1.seconds)
        runCurrent()

        assertEquals(1, served)
    }

    private fun TestScope.pair(): Pair<FakePeerHub, FakePeerNetwork> {
        val hub = FakePeerHub(backgroundScope, Random(1))
        hub.join(b).serve(echo) {
            served++
            it
        }
        return hub to hub.join(a)
    }

    private fun failure(result: Either<PeerFailure, Text>): PeerFailure? = result.leftOrNull()

    @Serializable
    data class Text(val value: String)
}
