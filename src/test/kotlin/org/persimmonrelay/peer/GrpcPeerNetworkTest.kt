package org.persimmonrelay.peer

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import org.junit.jupiter.api.AfterEach
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.settings.PeerSettings
import org.persimmonrelay.timeline.HybridClock
import org.persimmonrelay.timeline.HybridTimestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GrpcPeerNetworkTest {
    private val opened = mutableListOf<AutoCloseable>()
    private val echo = PeerMethod("echo", Text.serializer(), Text.serializer())
    private val client = network("a")
    private val server = network("b")
    private val timeout = 20.seconds

    @AfterEach
    fun close() = opened.forEach { it.close() }

    @Test
    fun `a call returns the response, and messages and bytes are counted by method`() = runBlocking {
        server.serve(echo) { Text(it.value.uppercase()) }
        val address = server.start()

        assertEquals(Text("HI").right(), client.call(address, echo, Text("hi"), timeout))
        assertEquals(MethodTraffic(messages = 2, bytes = 8), client.traffic.byMethod()["echo"])
    }

    @Test
    fun `a restarted peer rejects calls addressed to its earlier incarnation`() = runBlocking {
        server.serve(echo) { it }
        val earlier = server.start().copy(incarnation = Incarnation("older"))

        assertIs<PeerFailure.Rejected>(failure(client.call(earlier, echo, Text("hi"), timeout)))
        Unit
    }

    @Test
    fun `a call to a port without a listener is unreachable`() = runBlocking {
        val address = server.start()
        server.close()

        assertIs<PeerFailure.Unreachable>(failure(client.call(address, echo, Text("hi"), timeout)))
        Unit
    }

    @Test
    fun `a peer that fails after it received the call is not reported as unreachable`() = runBlocking {
        server.serve(echo) {
            server.close()
            awaitCancellation()
        }

        val failure = failure(client.call(server.start(), echo, Text("hi"), timeout))

        assertTrue(failure is PeerFailure.TimedOut || failure is PeerFailure.Rejected, "$failure")
    }

    @Test
    fun `the handler is cancelled when the caller's deadline passes or the caller is cancelled`() = runBlocking {
        val ended = List(2) { CompletableDeferred<Unit>() }
        val started = List(2) { CompletableDeferred<Unit>() }
        server.serve(echo) {
            started[it.value.toInt()].complete(Unit)
            try {
                awaitCancellation()
            } finally {
                ended[it.value.toInt()].complete(Unit)
            }
        }
        val address = server.start()

        assertIs<PeerFailure.TimedOut>(failure(client.call(address, echo, Text("0"), 300.milliseconds)))
        val pending = async { client.call(address, echo, Text("1"), timeout) }
        started[1].await()
        pending.cancelAndJoin()

        withTimeout(timeout) { ended.forEach { it.await() } }
    }

    @Test
    fun `a stalled connection is replaced and the next call succeeds on the new one`() = runBlocking {
        server.serve(echo) { it }
        val address = server.start()
        val proxy = StallingProxy(address.port).also(opened::add)
        val throughProxy = address.copy(port = proxy.port)
        client.call(throughProxy, echo, Text("first"), timeout)

        proxy.stallOpenConnections()
        val stalled = client.call(throughProxy, echo, Text("lost"), 300.milliseconds)
        val next = client.call(throughProxy, echo, Text("again"), timeout)

        assertIs<PeerFailure.TimedOut>(failure(stalled))
        assertEquals(Text("again").right(), next)
        assertEquals(2, proxy.accepted.get())
    }

    @Test
    fun `clock readings are sent with requests and responses`() = runBlocking {
        val ahead = HybridTimestamp(SystemClock.wallMillis() + 30_000, 0)
        val fast = HybridClock().apply { observe(ahead, SystemClock.wallMillis()) }
        val hybrid = HybridClock()
        val other = network("c", hybrid)
        val peer = network("d", fast)
        peer.serve(echo) { it }

        other.call(peer.start(), echo, Text("hi"), timeout)

        assertTrue(hybrid.tick(SystemClock.wallMillis()) > ahead)
    }

    @Test
    fun `without TLS a node listens on and calls loopback addresses only`() = runBlocking {
        assertFailsWith<IllegalArgumentException> { network("e", host = "0.0.0.0") }
        val remote = PeerAddress(NodeId("f"), Incarnation("f1"), "192.0.2.1", 1)

        val failure = failure(client.call(remote, echo, Text("hi"), timeout))

        assertTrue("peer.tls" in assertIs<PeerFailure.Unreachable>(failure).message)
    }

    private fun network(name: String, hybrid: HybridClock = HybridClock(), host: String = "127.0.0.1") =
        GrpcPeerNetwork(
            NodeId(name),
            Incarnation("${name}1"),
            PeerSettings(host, 0),
            SystemClock,
            hybridClock = hybrid,
        ).also(opened::add)

    private fun failure(response: Either<PeerFailure, Text>): PeerFailure? = response.leftOrNull()

    @Serializable
    data class Text(val value: String)
}
