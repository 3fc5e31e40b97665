package org.persimmonrelay.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.runBlocking
import org.persimmonrelay.clock.ManualClock
import org.persimmonrelay.timeline.EventSink
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** An outage of the store during a long poll, which other calls notice first. */
class HealthTrackingTableTest {
    private val clock = ManualClock()
    private var lost = 0
    private val health = StoreHealth(EventSink.NONE, onLost = { lost++ }) {}
    private val service = FakeTable()
    private val table = HealthTrackingTable(service, health, clock)

    @Test
    fun `one lost response is no outage, two in a row are`() = runBlocking {
        service.fails = true
        table.read(listOf("a"))
        assertEquals(0, lost)

        table.read(listOf("a"))

        assertEquals(1, lost)
    }

    @Test
    fun `an outage counts from the last successful call`() = runBlocking {
        table.read(listOf("a"))
        service.fails = true
        clock.advance(3.seconds)
        repeat(2) { table.read(listOf("a")) }

        assertTrue(health.entriesMayHaveExpired(clock.now()))
    }

    private class FakeTable : TableService {
        var fails = false

        override suspend fun read(keys: List<String>): Either<StoreUnavailable, List<Row>> =
            if (fails) StoreUnavailable("down").left() else emptyList<Row>().right()

        override suspend fun scan(prefix: String, after: String?, limit: Int): Either<StoreUnavailable, List<Row>> =
            read(emptyList())

        override suspend fun commit(transaction: Transaction): Either<StoreUnavailable, CommitResult> =
            CommitResult.Committed.right()
    }
}
