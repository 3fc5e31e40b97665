package org.persimmonrelay.platform

import kotlinx.coroutines.delay
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Receives the rows of a followed table. */
public interface RowListener {
    /** Called with all rows of the table. */
    public fun onSnapshot(response: FeedResponse)

    /** Called with the rows that were written or removed. An empty response confirms that nothing changed. */
    public fun onChanges(response: FeedResponse)
}

/**
 * Time values of a [RowFollower]: how long a request for changes waits for a change, the time after which the table is
 * read again in full, and the backoff after failed reads.
 */
public data class RowFollowerSettings(
    val pollTimeout: Duration = 1_500.milliseconds,
    val snapshotInterval: Duration = 4.seconds,
    val firstBackoff: Duration = 50.milliseconds,
    val maxBackoff: Duration = 400.milliseconds,
)

/**
 * Follows one table: reads all rows, then polls for changes. Changes may be reported late or never, so all rows are
 * read again periodically and after every failure. Runs on the control thread.
 */
public class RowFollower(
    private val feed: RowFeed,
    private val table: FeedTable,
    private val listener: RowListener,
    private val health: StoreHealth,
    private val clock: Clock,
    private val events: EventSink,
    private val settings: RowFollowerSettings = RowFollowerSettings(),
) {
    private var backoff = settings.firstBackoff

    /** Follows the table until cancelled. */
    public suspend fun run() {
        while (true) {
            val response = feed.snapshot(table).fold({ onFailure(it) }, { it })
            if (response == null) {
                delayBackoff()
                continue
            }
            onSuccess()
            listener.onSnapshot(response)
            followChanges(response.version, clock.now() + settings.snapshotInterval)
        }
    }

    private suspend fun followChanges(from: Long, until: Moment) {
        var version = from
        while (clock.now() < until) {
            val response = feed.changes(table, version, settings.pollTimeout).fold({ onFailure(it) }, { it }) ?: return
            onSuccess()
            listener.onChanges(response)
            version = maxOf(version, response.version)
        }
    }

    private fun onFailure(failure: FeedFailure): FeedResponse? {
        when (failure) {
            is FeedFailure.HistoryLost -> events.record(PlatformEvent.HISTORY_LOST, "table" with table)
            is FeedFailure.Unavailable -> health.recordFailure(failure.message, clock.now())
        }
        return null
    }

    private fun onSuccess() {
        health.recordSuccess(clock.now())
        backoff = settings.firstBackoff
    }

    private suspend fun delayBackoff() {
        delay(backoff)
        backoff = minOf(backoff * 2, settings.maxBackoff)
    }
}
