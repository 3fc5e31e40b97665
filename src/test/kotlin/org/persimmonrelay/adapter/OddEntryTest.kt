package org.persimmonrelay.adapter

import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.FeedRow
import org.persimmonrelay.timeline.EventSink
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/** Entries of other writers among those of the servers, and bodies of faulty servers. */
class OddEntryTest {
    private val servers = ServerDecoder(EventSink.NONE)

    // Guards against one deeply nested entry that ends the process, or stops it following the list of servers.
    @Test
    fun `deeply nested bytes are ignored wherever others may write them`() {
        for (nested in listOf(arrays(), "{\"state\":${arrays()}}", objects(), "{\"a\":${objects()}}")) {
            val bytes = nested.encodeToByteArray()
            onSmallStack {
                assertNull(servers.decode(FeedRow("i-1", bytes)))
                assertNull(ConfigDecoder(EventSink.NONE).decode(bytes))
                assertNull(EngineReportCodec().parseDelta(bytes))
                assertNull(PlatformHeaderCodec().parseKvHandle(ServerAddress("10.0.0.9", 80), bytes))
            }
        }
    }

    @Test
    fun `an entry with brackets in a text is used`() {
        val entry = entry(""""note":"${"[".repeat(DEPTH)}"""")

        assertEquals(ServerId("i-1"), servers.decode(FeedRow("i-1", entry.encodeToByteArray()))?.instance?.id)
    }

    // Guards against numbers that do not fit, which would count as an endless number of slots or as no start at all.
    @Test
    fun `an entry with a number that is too large is ignored`() {
        listOf("1e400", "99999999999999999999999", "-1", "0", "3000000000").forEach {
            assertNull(servers.decode(FeedRow("i-1", entry(""""slots":$it""").encodeToByteArray())), "slots $it")
        }
        listOf("1e400", "99999999999999999999999", "-1e400").forEach {
            assertNull(servers.decode(FeedRow("i-1", entry(""""born":$it""").encodeToByteArray())), "born $it")
        }
    }

    @Test
    fun `an entry with an address that can't be reached is ignored`() {
        listOf("10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999", "10.0.0.999:80", "300.1.1.1:80").forEach {
            assertNull(ServerAddress.parse(it), it)
        }
        assertNotNull(ServerAddress.parse("10.0.0.255:65535"))
    }

    private fun entry(field: String) =
        """{"service":"s1","address":"10.0.0.9:8080","zone":"puget-a","state":"ready",$field}"""

    private fun arrays() = "[".repeat(DEPTH) + "]".repeat(DEPTH)

    private fun objects() = "{\"a\":".repeat(DEPTH) + "1" + "}".repeat(DEPTH)

    /** Runs [block] on a thread with the stack that a node's threads have. */
    private fun onSmallStack(block: () -> Unit) {
        var failure: Throwable? = null
        val work = Runnable { runCatching(block).onFailure { failure = it } }
        Thread(null, work, "small-stack", STACK_BYTES).apply { start() }.join()
        failure?.let { throw it }
    }

    private companion object {
        const val DEPTH = 10_000
        const val STACK_BYTES = 256L * 1024
    }
}
