package org.persimmonrelay.platform

import kotlinx.coroutines.delay
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Hears what a table holds. */
public interface RowListener {
    /** The table holds exactly the rows of [response]. */
    public fun onSnapshot(response: FeedResponse)

    /** The rows of [response] were written or removed. An empty response confirms that nothing changed. */
    public fun onChanges(response: FeedResponse)
}

/** Periods of following a table. */
public data class FollowSettings(
    val wait: Duration = 1_500.milliseconds,
    val refreshEvery: Duration = 4.seconds,
    val firstBackoff: Duration = 50.milliseconds,
    val longestBackoff: Duration = 400.milliseconds,
)

/**
 * Follows one table: reads it whole, then waits for changes. A change may be heard late or never, so the table is
 * read whole again now and then, and after every failure. Runs on the control thread.
 */
public class RowFollower(
    private val feed: RowFeed,
    private val table: FeedTable,
    private val listener: RowListener,
    private val health: StoreHealth,
    private val clock: Clock,
    private val events: EventSink,
    private val settings: FollowSettings = FollowSettings(),
) {
    private var backoff = settings.firstBackoff

    /** Follows until it is cancelled. */
    public suspend fun run() {
        while (true) {
            val response = feed.snapshot(table).fold({ failed(it) }, { it })
            if (response == null) {
                pause()
                continue
            }
            succeeded()
            listener.onSnapshot(response)
            followChanges(response.version, clock.now() + settings.refreshEvery)
        }
    }

    private suspend fun followChanges(from: Long, until: Moment) {
        var version = from
        while (clock.now() < until) {
            val response = feed.changes(table, version, settings.wait).fold({ failed(it) }, { it }) ?: return
            succeeded()
            listener.onChanges(response)
            version = maxOf(version, response.version)
        }
    }

    private fun failed(failure: FeedFailure): FeedResponse? {
        when (failure) {
            is FeedFailure.HistoryLost -> events.record(PlatformEvent.HISTORY_LOST, "table" with table)
            is FeedFailure.Unavailable -> health.recordFailure(failure.message, clock.now())
        }
        return null
    }

    private fun succeeded() {
        health.recordSuccess(clock.now())
        backoff = settings.firstBackoff
    }

    private suspend fun pause() {
        delay(backoff)
        backoff = minOf(backoff * 2, settings.longestBackoff)
    }
}
