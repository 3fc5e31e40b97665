/*
 * Keeps this node's configuration up to date in two independent loops. The first polls the head row in the table
 * service and reads the missing changes. The second probes one peer after another while no recent poll has succeeded.
 * A node that missed a push, or that starts during an outage, gets the missing changes from its peers and learns
 * whether its key states are recent enough to use.
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

/** Runs both update loops until their scope is cancelled. */
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
    private val probeOrder = PeerProbeOrder(random)
    private var isStoreAvailable = true
    private var wasFresh = true

    /** True once this node has loaded a configuration that was the newest at the time of loading. */
    public val ready: StateFlow<Boolean> = loaded.asStateFlow()

    /** Starts both loops in [scope]. */
    public fun launchIn(scope: CoroutineScope) {
        scope.launch { pollForever(scope) }
        scope.launch { probePeersForever(scope) }
    }

    private suspend fun pollForever(scope: CoroutineScope) {
        while (true) {
            val answered = pollOnce()
            if (!answered) probeNext(scope)
            val interval = if (answered) pollInterval else RETRY_INTERVAL
            delay(interval * random.nextDouble(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR))
        }
    }

    /** Reads the head row and adopts missing versions. Returns true if the table service answered in time. */
    public suspend fun pollOnce(): Boolean {
        val startedAt = clock.now()
        val answered = withTimeoutOrNull(POLL_TIMEOUT) { repository.catchUp().getOrNull() } != null
        if (answered) keyFreshness.onHeadRead(startedAt, clock.now())
        recordStoreState(answered)
        updateReady()
        return answered
    }

    private suspend fun probePeersForever(scope: CoroutineScope) {
        while (true) {
            delay(PROBE_INTERVAL)
            updateReady()
            recordFreshness()
            if (!isStoreConfirmed()) probeNext(scope)
        }
    }

    private fun probeNext(scope: CoroutineScope) {
        val member = probeOrder.next(peers.others()) ?: return
        scope.launch { peers.probe(member) }
    }

    private fun isStoreConfirmed(): Boolean {
        val age = keyFreshness.storeAge(clock.now()) ?: return false
        return age < pollInterval * MAX_CONFIRMED_AGE_POLLS
    }

    private fun updateReady() {
        if (loaded.value || !keyFreshness.started) return
        loaded.value = true
        events.record(CatalogEvent.LOADED, "version" with state.current.version)
    }

    private fun recordStoreState(answered: Boolean) {
        if (answered == isStoreAvailable) return
        isStoreAvailable = answered
        events.record(if (answered) CatalogEvent.STORE_ANSWERS else CatalogEvent.STORE_SILENT)
    }

    private fun recordFreshness() {
        val fresh = keyFreshness.isFresh(clock.now())
        if (!loaded.value || fresh == wasFresh) return
        wasFresh = fresh
        events.record(if (fresh) CatalogEvent.KEYS_FRESH else CatalogEvent.KEYS_STALE)
    }

    private companion object {
        const val MIN_JITTER_FACTOR = 0.9
        const val MAX_JITTER_FACTOR = 1.1
        const val MAX_CONFIRMED_AGE_POLLS = 1.5
        val PROBE_INTERVAL = 500.milliseconds

        /**
         * Short, so that one lost response does not delay a key withdrawal past its time limit. During an outage
         * the circuit breaker of the table client limits the load on the table service.
         */
        val RETRY_INTERVAL = 300.milliseconds
        val POLL_TIMEOUT = 5.seconds
    }
}
