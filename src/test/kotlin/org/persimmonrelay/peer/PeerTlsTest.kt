package org.persimmonrelay.peer

import arrow.core.right
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.serializer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.settings.PeerSettings
import org.persimmonrelay.settings.TlsSettings
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class PeerTlsTest {
    @TempDir
    lateinit var directory: Path

    private val opened = mutableListOf<AutoCloseable>()
    private val double = PeerMethod("double", Int.serializer(), Int.serializer())
    private var handledCalls = 0
    private val nodeCa by lazy { NodeCertificates(directory, "ours") }
    private val otherCa by lazy { NodeCertificates(directory, "theirs") }

    @AfterEach
    fun close() = opened.forEach { it.close() }

    @Test
    fun `a node can call another node with a certificate of the same authority`() {
        val response = call(client = nodeCa.issue(PeerTls.NODE_NAME))

        assertEquals(42.right(), response)
    }

    @Test
    fun `a client with another authority's certificate is refused`() =
        assertRefused(client = otherCa.issue(PeerTls.NODE_NAME, trusted = nodeCa.trustFile))

    @Test
    fun `a client whose certificate is not a node certificate is refused`() =
        assertRefused(client = nodeCa.issue("shop.example"))

    @Test
    fun `a client without a certificate is refused`() = assertRefused(client = null)

    @Test
    fun `a server with another authority's certificate is refused`() = assertRefused(
        client = nodeCa.issue(PeerTls.NODE_NAME),
        server = otherCa.issue(PeerTls.NODE_NAME, nodeCa.trustFile),
    )

    @Test
    fun `a server whose certificate is not a node certificate is refused`() =
        assertRefused(client = nodeCa.issue(PeerTls.NODE_NAME), server = nodeCa.issue("shop.example"))

    private fun assertRefused(client: TlsSettings?, server: TlsSettings = nodeCa.issue(PeerTls.NODE_NAME)) {
        assertTrue(call(client, server).isLeft())
        assertEquals(0, handledCalls)
    }

    private fun call(client: TlsSettings?, server: TlsSettings = nodeCa.issue(PeerTls.NODE_NAME)) = runBlocking {
        val callee = network("b", server)
        callee.serve(double) {
            handledCalls++
            it * 2
        }
        network("a", client).call(callee.start(), double, 21, 20.seconds)
    }

    private fun network(name: String, tls: TlsSettings?) = GrpcPeerNetwork(
        NodeId(name),
        Incarnation("${name}1"),
        PeerSettings("127.0.0.1", 0, tls),
        SystemClock,
    ).also(opened::add)
}
