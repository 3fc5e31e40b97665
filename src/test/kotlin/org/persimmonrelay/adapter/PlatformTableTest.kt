package org.persimmonrelay.adapter

import arrow.core.Either
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.persimmonrelay.clock.SharedWallClock
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.http.EventLoopThread
import org.persimmonrelay.http.HttpConnector
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.CommitOutcome
import org.persimmonrelay.platform.CommitResult
import org.persimmonrelay.platform.Condition
import org.persimmonrelay.platform.FeedFailure
import org.persimmonrelay.platform.FeedTable
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.RestoreCounter
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import org.persimmonrelay.quarantine.LedgerExchange
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds

class PlatformTableTest {
    private val thread = EventLoopThread("test-control")
    private val store = StandInStore()
    private val clock = SystemClock

    @AfterTest
    fun close() {
        store.close()
        thread.close()
    }

    @Test
    fun `versions count the writes of each row`() = onThread {
        val table = table()

        assertIs<CommitResult.Committed>(commit(table, "o1", Condition.Absent("k"), Write.Put("k", "a")))
        assertIs<CommitResult.Committed>(commit(table, "o2", Condition.VersionIs("k", 1), Write.Put("k", "b")))

        val row = valueOf(table.read(listOf("k"))).single()
        assertEquals(2, row.version)
        assertEquals("b", row.value)
        assertEquals(OperationId("o2"), row.operation)
    }

    @Test
    fun `a node with an outdated version gets a conflict`() = onThread {
        val first = table()
        val second = table()
        commit(first, "o1", Condition.Absent("k"), Write.Put("k", "a"))
        commit(second, "o2", Condition.VersionIs("k", 1), Write.Put("k", "b"))

        val conflict = assertIs<CommitResult.Conflict>(
            commit(first, "o3", Condition.VersionIs("k", 1), Write.Put("k", "c")),
        )

        assertEquals(2, conflict.current.single().version)
        assertEquals("b", valueOf(first.read(listOf("k"))).single().value)
    }

    @Test
    fun `a condition that fails against cached rows is checked against the store`() = onThread {
        val first = table()
        val second = table()
        commit(first, "o1", Condition.Absent("k"), Write.Put("k", "a"))
        commit(second, "o2", Condition.VersionIs("k", 1), Write.Delete("k"))

        assertIs<CommitResult.Committed>(commit(first, "o3", Condition.Absent("k"), Write.Put("k", "c")))
    }

    @Test
    fun `a lost response to a write that took effect is reported as committed`() = onThread {
        val reliable = ReliableTable(table(), clock, Random(1))
        store.fault = StoreFault.RESPONSE_LOST
        val transaction =
            Transaction(OperationId("o1"), listOf(Condition.Absent("k")), listOf(Write.Put("k", "a")))

        assertIs<CommitOutcome.Committed>(reliable.commit(transaction))
        assertEquals(1, valueOf(reliable.read(listOf("k"))).single().version)
    }

    @Test
    fun `rows are scanned by prefix across pages`() = onThread {
        val table = table()
        repeat(7) { commit(table, "o$it", Condition.Absent("a/$it"), Write.Put("a/$it", "$it")) }
        commit(table, "other", Condition.Absent("b/1"), Write.Put("b/1", "x"))

        assertEquals((0..6).map { "a/$it" }, valueOf(table.scan("a/")).map { it.key })
        assertEquals(listOf("a/5", "a/6"), valueOf(table.scan("a/", after = "a/4")).map { it.key })
    }

    @Test
    fun `a feed reports changes, removals and lost history`() = onThread {
        val feed = PlatformRowFeed(platformStore(), clock)
        store.write("servers", "i-1", "one")
        val start = valueOf(feed.snapshot(FeedTable.BACKEND_SERVERS))
        store.write("servers", "i-2", "two")
        store.write("servers", "i-1", null)

        val changes = valueOf(feed.changes(FeedTable.BACKEND_SERVERS, start.version, 100.milliseconds))
        assertEquals(listOf("i-2" to true, "i-1" to false), changes.rows.map { it.key to (it.value != null) })

        store.forgetHistory()
        val lost = feed.changes(FeedTable.BACKEND_SERVERS, start.version, 100.milliseconds)
        assertEquals(FeedFailure.HistoryLost, lost.fold({ it }, { null }))
    }

    @Test
    fun `rows that nodes follow are in a table of their own, whose feed has their values`() = onThread {
        val table = table()
        commit(table, "o1", Condition.Absent(LedgerExchange.ROW_KEY), Write.Put(LedgerExchange.ROW_KEY, "one"))
        commit(table, "o2", Condition.Absent("other"), Write.Put("other", "x"))

        val row = valueOf(PlatformRowFeed(platformStore(), clock).snapshot(FeedTable.QUARANTINE)).rows.single()

        assertEquals(LedgerExchange.ROW_KEY, row.key)
        assertEquals("one", row.value?.let(PlatformTable::value))
        assertEquals("one", valueOf(table.read(listOf(LedgerExchange.ROW_KEY))).single().value)
    }

    /** Guards against a write over a row that has got the expected version from another write. */
    @Test
    fun `a version that the restored store has assigned again meets no condition of before`() = onThread {
        val first = ReliableTable(table(), clock, Random(1))
        val copy = store.copy()
        first.commit(Transaction(OperationId("o1"), listOf(Condition.Absent("k")), listOf(Write.Put("k", "lost"))))
        val readAfter = first.restores
        store.restore(copy)
        commit(table(), "o2", Condition.Absent("k"), Write.Put("k", "kept"))

        val write = Transaction(OperationId("o3"), listOf(Condition.VersionIs("k", 1)), listOf(Write.Put("k", "wrong")))
        val outcomes = List(2) { first.commit(write, readAfter) }

        assertIs<CommitOutcome.Unknown>(outcomes.first())
        assertIs<CommitOutcome.NotSent>(outcomes.last())
        val conflict = assertIs<CommitOutcome.Conflict>(
            first.commit(Transaction(OperationId("o4"), listOf(Condition.Absent("k")), listOf(Write.Put("k", "new")))),
        )
        assertEquals("kept", conflict.current.single().value)
    }

    @Test
    fun `a table is read again in full when the store was restored, and then followed`() = onThread {
        val feed = PlatformRowFeed(platformStore(), clock)
        val copy = store.copy()
        repeat(3) { store.write("servers", "i-$it", "lost") }
        val before = valueOf(feed.snapshot(FeedTable.BACKEND_SERVERS)).version
        store.restore(copy)
        repeat(4) { store.write("servers", "j-$it", "kept") }

        val changes = valueOf(feed.changes(FeedTable.BACKEND_SERVERS, before, 100.milliseconds))

        assertEquals(before.restores + 1, changes.version.restores)
        assertEquals(4, valueOf(feed.snapshot(FeedTable.BACKEND_SERVERS)).rows.size)
    }

    @Test
    fun `an unavailable store is reported as unavailable, not as a conflict`() = onThread {
        store.fault = StoreFault.UNAVAILABLE

        val outcome = table().commit(
            Transaction(OperationId("o1"), listOf(Condition.Absent("k")), listOf(Write.Put("k", "a"))),
        )

        assertEquals(true, outcome.isLeft())
    }

    private fun platformStore() =
        PlatformStore(AdapterHttpClient(HttpConnector(thread, clock), clock, SimpleMeterRegistry()), {
            store.address
        }, clock, SharedWallClock(clock), RestoreCounter { _, _ -> })

    private fun table() = PlatformTable(platformStore())

    private suspend fun commit(table: PlatformTable, operation: String, condition: Condition, write: Write) =
        valueOf(table.commit(Transaction(OperationId(operation), listOf(condition), listOf(write))))

    private fun <T> valueOf(either: Either<Any, T>): T = either.fold({ error("failed: $it") }, { it })

    private fun onThread(block: suspend () -> Unit) = runBlocking { withContext(thread.dispatcher) { block() } }
}
