package org.persimmonrelay.platform

import arrow.core.Either
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
 * node has seen a change that did not arrive here, when the store was restored from an older copy, and periodically.
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
    private var readUpTo = StoreVersion.NONE

    /** Store version of the newest change of the table that this node has read. */
    @Volatile
    public var newestChange: StoreVersion = StoreVersion.NONE
        private set

    @Volatile
    private var lastClaim = StoreVersion.NONE

    private enum class Interruption { CHANGE_SEEN_ELSEWHERE, STORE_LOST }

    /** How a poll for changes ended. */
    private sealed interface PollResult {
        data class Read(val response: FeedResponse) : PollResult

        data object Interrupted : PollResult

        /** There are no changes to go on from. */
        data object Failed : PollResult
    }

    /**
     * Another node has read the change of store version [version]; if this node has not, it reads the table again, once
     * for each version, since reading shows whether there is such a change.
     */
    public fun changeSeenElsewhere(version: StoreVersion) {
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
            val response = readAll()
            if (response == null) {
                delayBackoff()
                continue
            }
            listener.onSnapshot(response)
            followChanges(clock.now() + settings.snapshotInterval)
        }
    }

    /** Null after a failure. A response from before a restore that this node knows of is outdated. */
    private suspend fun readAll(): FeedResponse? {
        val response = feed.snapshot(table).fold({ onFailure(it) }, { it }) ?: return null
        if (response.version.restores < readUpTo.restores) return null
        onSuccess(response)
        return response
    }

    private suspend fun followChanges(until: Moment) {
        var isFirst = true
        while (clock.now() < until) {
            when (val result = poll()) {
                is PollResult.Read -> pass(result.response)
                is PollResult.Interrupted -> return
                is PollResult.Failed -> {
                    // A table that can be read but not followed must not be read over and over.
                    if (isFirst) delayBackoff()
                    return
                }
            }
            isFirst = false
        }
    }

    private suspend fun pass(response: FeedResponse) {
        backoff = settings.firstBackoff
        listener.onChanges(response)
        // Changes come in groups; without a pause, each would cost every node a call.
        if (response.rows.isNotEmpty()) delay(settings.changePause())
    }

    private suspend fun poll(): PollResult = coroutineScope {
        val call = async { feed.changes(table, readUpTo, settings.pollTimeout()) }
        select {
            call.onAwait { result -> onPolled(result) }
            interruptions.onReceive {
                call.cancel()
                onInterrupted(it)
            }
        }
    }

    private fun onPolled(result: Either<FeedFailure, FeedResponse>): PollResult {
        val response = result.fold({ onFailure(it) }, { it })
        if (response == null || response.version.restores != readUpTo.restores) return PollResult.Failed
        onSuccess(response)
        return PollResult.Read(response)
    }

    private fun onInterrupted(interruption: Interruption): PollResult {
        feed.closeIdleConnections()
        if (interruption == Interruption.CHANGE_SEEN_ELSEWHERE) {
            events.record(PlatformEvent.CHANGE_MISSED, "table" with table, "readUpTo" with readUpTo.version)
        }
        return PollResult.Interrupted
    }

    private fun onFailure(failure: FeedFailure): FeedResponse? {
        when (failure) {
            is FeedFailure.HistoryLost ->
                events.record(PlatformEvent.HISTORY_LOST, "table" with table, "readUpTo" with readUpTo.version)
            is FeedFailure.Unavailable -> health.recordFailure(failure.message, clock.now())
        }
        return null
    }

    private fun onSuccess(response: FeedResponse) {
        readUpTo = maxOf(readUpTo, response.version)
        newestChange = maxOf(newestChange, response.newestChange)
        health.recordSuccess(clock.now())
    }

    private suspend fun delayBackoff() {
        delay(backoff)
        backoff = minOf(backoff * 2, settings.maxBackoff)
    }
}
