package org.persimmonrelay.load

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.persimmonrelay.http.EventLoopThread
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.timeline.EventCode
import org.persimmonrelay.timeline.EventSink
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class UdpLoadReportTransportTest {
    private val thread = EventLoopThread("test-loads")
    private val anyPort = ServerAddress("127.0.0.1", 0)

    @AfterTest
    fun stop() = thread.close()

    @Test
    fun `datagrams arrive complete`() = runBlocking {
        val arrived = CompletableDeferred<ByteArray>()
        withContext(thread.dispatcher) {
            val port =
                assertNotNull(UdpLoadReportTransport(thread, anyPort, EventSink.NONE).start { arrived.complete(it) })
            val sender = UdpLoadReportTransport(thread, anyPort, EventSink.NONE).apply { start {} }
            sender.send(ServerAddress("127.0.0.1", port), byteArrayOf(1, 2, 3))
        }

        assertContentEquals(byteArrayOf(1, 2, 3), withTimeout(10.seconds) { arrived.await() })
    }

    @Test
    fun `an address in use is logged, and datagrams to send are dropped`() = runBlocking {
        val events = ArrayList<EventCode>()
        withContext(thread.dispatcher) {
            val port = assertNotNull(UdpLoadReportTransport(thread, anyPort, EventSink.NONE).start {})
            val second = UdpLoadReportTransport(thread, ServerAddress("127.0.0.1", port), { code, _ -> events += code })

            assertNull(second.start {})
            second.send(anyPort, byteArrayOf(1))
        }

        assertEquals(listOf<EventCode>(LoadEvent.ADDRESS_UNUSABLE), events)
    }
}
