package org.persimmonrelay.platform

import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
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
 * read again in full, the pause after changes, in which further ones gather, and the backoff after failed reads.
 * [pollTimeout] and [changePause] are asked before each request.
 */
public class RowFollowerSettings(
    public val pollTimeout: () -> Duration = { DEFAULT_POLL_TIMEOUT },
    public val changePause: () -> Duration = { Duration.ZERO },
    public val snapshotInterval: Duration = 20.seconds,
    public val firstBackoff: Duration = 50.milliseconds,
    public val maxBackoff: Duration = 300.milliseconds,
) {
    private companion object {
        val DEFAULT_POLL_TIMEOUT = 1_500.milliseconds
    }
}

/**
 * Follows one table: reads all rows, then polls for changes. All rows are read again after every failure, when another
 * node has seen a change that did not arrive here, and periodically.
 *
 * A poll that waits long can't be told from a connection that has gone silent. Other nodes therefore tell which changes
 * they have read ([changeSeenElsewhere]): the first of them whose poll ends makes all others read again.
 *
 * Runs on the control thread; [newestChange] and [changeSeenElsewhere] may be used on any thread.
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
    private val interruptions = Channel<Interruption>(Channel.CONFLATED)

    /** Store version up to which this node knows the table. */
    @Volatile
    private var readUpTo = 0L

    /** Store version of the newest change of the table that this node has read; 0 before the first. */
    @Volatile
    public var newestChange: Long = 0
        private set

    @Volatile
    private var lastClaim = 0L

    private enum class Interruption { CHANGE_SEEN_ELSEWHERE, STORE_LOST }

    /**
     * Another node has read the change of store version [version]; if this node has not, it reads the table again, once
     * for each version, since reading shows whether there is such a change.
     */
    public fun changeSeenElsewhere(version: Long) {
        if (version <= readUpTo || version == lastClaim) return
        lastClaim = version
        interruptions.trySend(Interruption.CHANGE_SEEN_ELSEWHERE)
    }

    /** Another call to the store failed, so a poll in progress may get no response either. */
    public fun storeLost() {
        interruptions.trySend(Interruption.STORE_LOST)
    }

    /** Follows the table until cancelled. */
    public suspend fun run() {
        while (true) {
            val response = feed.snapshot(table).fold({ onFailure(it) }, { it })
            if (response == null) {
                delayBackoff()
                continue
            }
            onSuccess(response)
            listener.onSnapshot(response)
            followChanges(clock.now() + settings.snapshotInterval)
        }
    }

    private suspend fun followChanges(until: Moment) {
        while (clock.now() < until) {
            val response = poll() ?: return
            onSuccess(response)
            listener.onChanges(response)
            // Changes come in groups; without a pause, each would cost every node a call.
            if (response.rows.isNotEmpty()) delay(settings.changePause())
        }
    }

    /** The next response; null after a failure or an interruption. */
    private suspend fun poll(): FeedResponse? = coroutineScope {
        val call = async { feed.changes(table, readUpTo, settings.pollTimeout()) }
        select {
            call.onAwait { result -> result.fold({ onFailure(it) }, { it }) }
            interruptions.onReceive {
                call.cancel()
                onInterrupted(it)
            }
        }
    }

    private fun onInterrupted(interruption: Interruption): FeedResponse? {
        feed.closeIdleConnections()
        if (interruption == Interruption.CHANGE_SEEN_ELSEWHERE) {
            events.record(PlatformEvent.CHANGE_MISSED, "table" with table, "readUpTo" with readUpTo)
        }
        return null
    }

    private fun onFailure(failure: FeedFailure): FeedResponse? {
        when (failure) {
            is FeedFailure.HistoryLost ->
                events.record(PlatformEvent.HISTORY_LOST, "table" with table, "readUpTo" with readUpTo)
            is FeedFailure.Unavailable -> health.recordFailure(failure.message, clock.now())
        }
        return null
    }

    private fun onSuccess(response: FeedResponse) {
        readUpTo = maxOf(readUpTo, response.version)
        newestChange = maxOf(newestChange, response.newestChange)
        health.recordSuccess(clock.now())
        backoff = settings.firstBackoff
    }

    private suspend fun delayBackoff() {
        delay(backoff)
        backoff = minOf(backoff * 2, settings.maxBackoff)
    }
}
