/*
 * Keeps this node's configuration up to date in two loops that don't wait for each other. One polls the head row
 * and reads what is missing. The other asks peers, one at a time, whenever the table service has not confirmed
 * for a while: through them a node that missed a push, or that starts during an outage, still gets every change,
 * and learns whether its knowledge of keys is fresh.
 */
package org.persimmonrelay.catalog

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Follows the configuration for as long as its scope lives. */
public class CatalogFollower(
    private val repository: CatalogRepository,
    private val peers: CatalogPeers,
    private val state: CatalogState,
    private val keyFreshness: KeyFreshnessTracker,
    private val clock: Clock,
    private val random: Random,
    private val pollInterval: Duration,
    private val events: EventSink,
) {
    private val loaded = MutableStateFlow(false)
    private val turns = AskTurns(random)
    private var storeAnswers = true
    private var wasFresh = true

    /** True once the node holds a configuration that was the newest when it was loaded. */
    public val ready: StateFlow<Boolean> = loaded.asStateFlow()

    /** Starts both loops in [scope]. */
    public fun launchIn(scope: CoroutineScope) {
        scope.launch { pollForever(scope) }
        scope.launch { askPeersForever(scope) }
    }

    private suspend fun pollForever(scope: CoroutineScope) {
        while (true) {
            val answered = pollOnce()
            if (!answered) askNext(scope)
            val pause = if (answered) pollInterval else RETRY_EVERY
            delay(pause * random.nextDouble(SHORTEST_JITTER, LONGEST_JITTER))
        }
    }

    /** Reads the head row and adopts what is missing; true when the table service answered. */
    public suspend fun pollOnce(): Boolean {
        val began = clock.now()
        val answered = withTimeoutOrNull(POLL_TIMEOUT) { repository.catchUp().getOrNull() } != null
        if (answered) keyFreshness.onHeadRead(began, clock.now())
        noteStore(answered)
        noteReady()
        return answered
    }

    private suspend fun askPeersForever(scope: CoroutineScope) {
        while (true) {
            delay(ASK_EVERY)
            noteReady()
            noteFreshness()
            if (!isStoreConfirmed()) askNext(scope)
        }
    }

    private fun askNext(scope: CoroutineScope) {
        val member = turns.next(peers.others()) ?: return
        scope.launch { peers.ask(member) }
    }

    private fun isStoreConfirmed(): Boolean {
        val age = keyFreshness.storeAge(clock.now()) ?: return false
        return age < pollInterval * CONFIRMED_POLLS
    }

    private fun noteReady() {
        if (loaded.value || !keyFreshness.started) return
        loaded.value = true
        events.record(CatalogEvent.LOADED, "version" with state.current.version)
    }

    private fun noteStore(answered: Boolean) {
        if (answered == storeAnswers) return
        storeAnswers = answered
        events.record(if (answered) CatalogEvent.STORE_ANSWERS else CatalogEvent.STORE_SILENT)
    }

    private fun noteFreshness() {
        val fresh = keyFreshness.isFresh(clock.now())
        if (!loaded.value || fresh == wasFresh) return
        wasFresh = fresh
        events.record(if (fresh) CatalogEvent.KEYS_FRESH else CatalogEvent.KEYS_STALE)
    }

    private companion object {
        const val SHORTEST_JITTER = 0.9
        const val LONGEST_JITTER = 1.1
        const val CONFIRMED_POLLS = 1.5
        val ASK_EVERY = 500.milliseconds

        /** Soon, since one lost answer must not cost a withdrawal its bound; the breaker spares a store that is out. */
        val RETRY_EVERY = 300.milliseconds
        val POLL_TIMEOUT = 5.seconds
    }
}
