package org.persimmonrelay.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.timeline.EventCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Long polls for changes whose connection may go silent without a reset. */
class RowFollowerTest {
    private val events = ArrayList<EventCode>()
    private val snapshots = ArrayList<Moment>()
    private var heard = 0L

    @Test
    fun `a poll that has gone silent is abandoned at once when another node has read a newer change`() = runTest {
        val feed = FakeFeed(this)
        val follower = follow(feed)
        advanceTimeBy(3.seconds)
        feed.isSilent = true
        feed.version = 8

        follower.changeSeenElsewhere(StoreVersion(0, 8))
        runCurrent()

        assertEquals(2, snapshots.size)
        assertEquals(StoreVersion(0, 8), follower.newestChange)
        assertTrue(PlatformEvent.CHANGE_MISSED in events)
        assertEquals(1, feed.idleClosed)
    }

    @Test
    fun `changes that this node has read too interrupt nothing`() = runTest {
        val feed = FakeFeed(this)
        val follower = follow(feed)
        runCurrent()

        follower.changeSeenElsewhere(StoreVersion(0, feed.version))
        advanceTimeBy(1.seconds)

        assertEquals(1, snapshots.size)
    }

    @Test
    fun `a claim of a change that does not exist costs one read`() = runTest {
        val feed = FakeFeed(this)
        val follower = follow(feed)
        runCurrent()

        repeat(20) {
            follower.changeSeenElsewhere(StoreVersion(0, Long.MAX_VALUE))
            runCurrent()
        }

        assertEquals(2, snapshots.size)
    }

    @Test
    fun `when another call finds the store lost, the table is read again instead of waiting for the poll`() = runTest {
        val feed = FakeFeed(this)
        val follower = follow(feed)
        runCurrent()
        feed.isSilent = true

        follower.storeLost()
        runCurrent()

        assertEquals(2, snapshots.size)
    }

    @Test
    fun `without news elsewhere the table is read again after the poll's timeout`() = runTest {
        val feed = FakeFeed(this)
        follow(feed)
        runCurrent()
        feed.isSilent = true

        advanceTimeBy(POLL + SILENT_MARGIN + 100.milliseconds)

        assertEquals(2, snapshots.size)
    }

    @Test
    fun `changes that come in a group cost one call more, not one each`() = runTest {
        val feed = FakeFeed(this)
        follow(feed)
        runCurrent()

        repeat(10) {
            feed.change()
            advanceTimeBy(20.milliseconds)
        }
        advanceTimeBy(CHANGE_PAUSE)
        runCurrent()

        assertTrue(feed.calls <= 3, "${feed.calls} calls")
        assertEquals(feed.version, heard)
    }

    /**
     * Guards against a follower that reads a table without end, because it asks for changes after a version of before.
     */
    @Test
    fun `after the store was restored from an older copy the table is followed from the restored version`() = runTest {
        val feed = FakeFeed(this)
        val follower = follow(feed)
        runCurrent()
        repeat(3) { feed.change() }
        advanceTimeBy(5.seconds)
        feed.restore(copied = 6)
        follower.storeLost()
        advanceTimeBy(20.seconds)

        assertTrue(feed.calls <= 8, "${feed.calls} polls")
        assertTrue(snapshots.size <= 4, "${snapshots.size} reads of the whole table")
        feed.change()
        runCurrent()
        assertEquals(7, heard)
        assertEquals(StoreVersion(1, 7), follower.newestChange)
    }

    @Test
    fun `a poll that the restored store answers for a version that it has assigned again reads the table again`() =
        runTest {
            val feed = FakeFeed(this)
            follow(feed)
            runCurrent()
            feed.restore(copied = 3)
            repeat(4) { feed.change() }
            advanceTimeBy(1.seconds)

            assertEquals(2, snapshots.size)
        }

    @Test
    fun `a change from before a restore that this node knows of interrupts nothing`() = runTest {
        val feed = FakeFeed(this)
        feed.restore(copied = 3)
        val follower = follow(feed)
        runCurrent()

        follower.changeSeenElsewhere(StoreVersion(0, 90))
        runCurrent()
        assertEquals(1, snapshots.size)

        follower.changeSeenElsewhere(StoreVersion(2, 0))
        runCurrent()
        assertEquals(2, snapshots.size, "another restore")
    }

    @Test
    fun `a table that can be read but not followed is not read over and over`() = runTest {
        val feed = FakeFeed(this).apply { isHistoryLost = true }
        follow(feed)
        advanceTimeBy(10.seconds)

        assertTrue(snapshots.size < 45, "${snapshots.size} reads in ten seconds")
    }

    private fun TestScope.follow(feed: FakeFeed): RowFollower {
        val clock = VirtualClock(this)
        val listener = object : RowListener {
            override fun onSnapshot(response: FeedResponse) {
                snapshots += clock.now()
            }

            override fun onChanges(response: FeedResponse) {
                heard = response.version.version
            }
        }
        val health = StoreHealth({ code, _ -> events += code }) {}
        val settings = RowFollowerSettings(pollTimeout = { POLL }, changePause = { CHANGE_PAUSE })
        val follower =
            RowFollower(feed, FeedTable.CONFIGURATION, listener, health, clock, { code, _ -> events += code }, settings)
        backgroundScope.launch { follower.run() }
        return follower
    }

    private class VirtualClock(private val scope: TestScope) : Clock {
        override fun now(): Moment = Moment.ZERO + scope.testScheduler.currentTime.milliseconds

        override fun wallMillis(): Long = scope.testScheduler.currentTime
    }

    private class FakeFeed(private val scope: TestScope) : RowFeed {
        var version = 5L
        var restores = 0L
        var isHistoryLost = false
        var isSilent = false
        var idleClosed = 0
        var calls = 0
        private val changed = Channel<Unit>(Channel.CONFLATED)

        override suspend fun snapshot(table: FeedTable): Either<FeedFailure, FeedResponse> = response().right()

        override suspend fun changes(
            table: FeedTable,
            after: StoreVersion,
            wait: Duration,
        ): Either<FeedFailure, FeedResponse> {
            calls++
            if (isHistoryLost || after.version > version) return FeedFailure.HistoryLost.left()
            val isChanged = withTimeoutOrNull(wait) { while (version <= after.version) changed.receive() } != null
            if (!isSilent) return response(if (isChanged) listOf(FeedRow("row", null)) else emptyList()).right()
            delay(SILENT_MARGIN)
            return FeedFailure.Unavailable("silent").left()
        }

        override fun closeIdleConnections() {
            idleClosed++
        }

        fun change() {
            version++
            changed.trySend(Unit)
        }

        /** The store comes back from a copy with the version [copied]; polls in progress fail. */
        fun restore(copied: Long) {
            restores++
            version = copied
            isSilent = false
            changed.trySend(Unit)
        }

        private fun response(rows: List<FeedRow> = emptyList()) = FeedResponse(
            rows,
            StoreVersion(restores, version),
            Moment.ZERO + scope.testScheduler.currentTime.milliseconds,
            newestChange = StoreVersion(restores, version),
        )
    }

    private companion object {
        val POLL = 10.seconds
        val CHANGE_PAUSE = 600.milliseconds
        val SILENT_MARGIN = 350.milliseconds
    }
}
