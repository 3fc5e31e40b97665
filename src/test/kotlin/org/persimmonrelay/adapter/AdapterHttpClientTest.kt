package org.persimmonrelay.adapter

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.forward.ScriptedServer
import org.persimmonrelay.forward.chunk
import org.persimmonrelay.forward.writeText
import org.persimmonrelay.http.EventLoopThread
import org.persimmonrelay.http.HttpConnector
import org.persimmonrelay.http.ServerAddress
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArraySet
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

class AdapterHttpClientTest {
    private val thread = EventLoopThread("test-control")
    private val silentSockets = CopyOnWriteArraySet<Socket>()
    private val open = CopyOnWriteArraySet<Socket>()
    private val bothConnected = CountDownLatch(2)
    private val store = ScriptedServer { _, socket ->
        open += socket
        bothConnected.countDown()
        bothConnected.await()
        if (socket !in silentSockets) socket.writeText("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    }
    private val http = AdapterHttpClient(HttpConnector(thread, SystemClock), SystemClock, SimpleMeterRegistry())

    @AfterTest
    fun stop() {
        store.close()
        thread.close()
    }

    @Test
    fun `after a time-out on a pooled connection the next call opens a new connection`() = runBlocking {
        withContext(thread.dispatcher) {
            coroutineScope { List(2) { async { call() } }.awaitAll() }
            assertEquals(2, open.size)
            silentSockets += open

            assertTrue(call(300.milliseconds).isLeft())
            assertTrue(call().isRight())
        }
    }

    @Test
    fun `a response without end is given up and its connection is not used again`() = runBlocking {
        val written = AtomicLong()
        val endless = ScriptedServer { _, socket ->
            socket.writeText("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            val part = chunk("x".repeat(16_384)).encodeToByteArray()
            runCatching {
                while (written.get() < FAR_TOO_MUCH_BYTES) {
                    socket.getOutputStream().write(part)
                    written.addAndGet(part.size.toLong())
                }
            }
        }
        withContext(thread.dispatcher) {
            val address = ServerAddress("127.0.0.1", endless.port)
            assertTrue(http.call(address, PlatformRequest("GET", "/x"), 20.seconds).isLeft())
        }
        assertTrue(written.get() < FAR_TOO_MUCH_BYTES, "${written.get()} bytes")
        assertEquals(1, endless.requests.size)
        endless.close()
    }

    // Guards against using servers that are gone for too long after a node was cut off from the store (DRAIN).
    @Test
    fun `a connection that is not established is given up long before the call's time is up`() = runBlocking {
        ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { full ->
            val address = ServerAddress("127.0.0.1", full.localPort)
            val waiting = List(3) { Socket().apply { runCatching { connect(full.localSocketAddress, 100) } } }

            val took = measureTime {
                withContext(thread.dispatcher) {
                    assertTrue(http.call(address, PlatformRequest("GET", "/x"), 3.seconds).isLeft())
                }
            }

            assertTrue(took < 1.seconds, "$took")
            waiting.forEach { it.close() }
        }
    }

    private suspend fun call(timeout: Duration = 3.seconds) =
        http.call(ServerAddress("127.0.0.1", store.port), PlatformRequest("GET", "/x"), timeout)

    private companion object {
        const val FAR_TOO_MUCH_BYTES = 100L * 1024 * 1024
    }
}
