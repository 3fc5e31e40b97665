package org.persimmonrelay.adapter

import arrow.core.Either
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.persimmonrelay.clock.SharedWallClock
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.forward.InvalidResponses
import org.persimmonrelay.forward.ScriptedServer
import org.persimmonrelay.forward.chunk
import org.persimmonrelay.forward.reset
import org.persimmonrelay.forward.writeText
import org.persimmonrelay.http.EventLoopThread
import org.persimmonrelay.http.HttpConnector
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.platform.RestoreCounter
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Responses of the store and the cloud that break the grammar of HTTP/1.1, or that break off. */
class InvalidStoreResponseTest {
    private val thread = EventLoopThread("test-control")

    @AfterTest
    fun stop() = thread.close()

    // Guards against rows that the store did not send, and against a write that counts as refused but took effect.
    @Test
    fun `an invalid response to a read or a write is no response`() {
        val invalid = InvalidResponses.of(PAGE)

        assertEquals(emptyList(), invalid.filterNot { isNoResponse(read(it)) })
        assertEquals(emptyList(), invalid.filterNot { isNoResponse(write(it)) })
        assertEquals(emptyList(), invalid.filter { order(it).isRight() })
    }

    @Test
    fun `rows in an unusual but valid response are read`() {
        val valid = InvalidResponses.validOf(PAGE).filterNot { "299" in it || "201" in it }

        assertEquals(valid, valid.filter { read(it).isRight() })
    }

    @Test
    fun `a page of rows that was cut off at any byte is no response`() {
        val whole = listOf(
            "HTTP/1.1 200 OK\r\nContent-Length: ${PAGE.length}\r\n\r\n$PAGE",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(PAGE) + "0\r\n\r\n",
        )
        val withoutLength = "HTTP/1.1 200 OK\r\n\r\n$PAGE"
        val parts = whole.flatMap { page -> page.indices.map(page::take) }

        assertEquals(emptyList(), parts.filterNot { isNoResponse(read(it)) })
        assertEquals(emptyList(), parts.filterNot { isNoResponse(read(it) { reset() }) })
        assertEquals(emptyList(), withoutLength.indices.map(withoutLength::take).filterNot { isNoResponse(read(it)) })
        assertIs<StoreFailure.NoResponse>(read(withoutLength) { reset() }.leftOrNull())
    }

    @Test
    fun `a response without a length to a write that was not read whole is no response`() {
        listOf<Socket.() -> Unit>({ reset() }, { close() }).forEach { end ->
            val outcomes = List(TRIES) {
                ScriptedServer(readsBody = false) { _, socket ->
                    socket.writeText("HTTP/1.1 200 OK\r\n\r\n$PAGE")
                    Thread.sleep(PAUSE_MILLIS)
                    socket.end()
                }.use { server -> onThread { store(server).apply(largeTransaction()) } }
            }
            assertEquals(emptyList(), outcomes.filterNot(::isNoResponse))
        }
    }

    private fun isNoResponse(result: Either<StoreFailure, StoreRows>) = result.leftOrNull() is StoreFailure.NoResponse

    private fun read(response: String, end: Socket.() -> Unit = { close() }) =
        responding(response, end) { store(it).get("op", null, null, 1) }

    private fun write(response: String) =
        responding(response) { store(it).apply(WireTransaction(emptyList(), emptyList(), emptyList())) }

    private fun order(response: String) = responding(response) { server ->
        val address = ServerAddress("127.0.0.1", server.port)
        FencedPlatformClient(http()) { address }.send("/scale", ByteArray(2), NodeId("n1"), epoch = 1)
    }

    private fun <T> responding(
        response: String,
        end: Socket.() -> Unit = { close() },
        call: suspend (ScriptedServer) -> T,
    ): T = ScriptedServer { _, socket ->
        socket.writeText(response, Charsets.ISO_8859_1)
        socket.end()
    }.use { server -> onThread { call(server) } }

    private fun largeTransaction() =
        WireTransaction(emptyList(), listOf(WirePut("t", "", "k", "x".repeat(4_000_000))), emptyList())

    private fun store(server: ScriptedServer): PlatformStore {
        val address = ServerAddress("127.0.0.1", server.port)
        return PlatformStore(http(), { address }, SystemClock, SharedWallClock(SystemClock), RestoreCounter { _, _ -> })
    }

    private fun http() = AdapterHttpClient(HttpConnector(thread, SystemClock), SystemClock, SimpleMeterRegistry())

    private fun <T> onThread(block: suspend () -> T): T = runBlocking { withContext(thread.dispatcher) { block() } }

    private companion object {
        const val PAGE =
            """{"rows":[{"table":"op","key":"config","value":"e30=","schema_version":1}],"schema_version":1}"""
        const val TRIES = 10
        const val PAUSE_MILLIS = 20L
    }
}
