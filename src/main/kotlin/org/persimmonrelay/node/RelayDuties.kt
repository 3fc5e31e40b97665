package org.persimmonrelay.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.lease.HolderId
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.lease.PredecessorEvidence
import org.persimmonrelay.membership.NodePeer
import org.persimmonrelay.membership.StoredMembership
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.TableClientSettings
import org.persimmonrelay.route.ActiveRouteTable
import org.persimmonrelay.settings.RelayBounds
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.usage.UsageMeter
import org.persimmonrelay.usage.UsageRecorder
import org.persimmonrelay.usage.UsageSettings
import org.persimmonrelay.usage.WindowCloser
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What one node at a time does for all, and what each does for that one. Runs on the control thread. */
internal class RelayDuties(
    self: NodePeer,
    bounds: RelayBounds,
    ports: RelayDependencies,
    identity: NodeIdentity,
    clock: Clock,
    events: EventSink,
    tables: ActiveRouteTable,
    directory: BackendDirectory,
) {
    private val table =
        ReliableTable(ports.table, clock, identity.random, TableClientSettings(maxBackoff = MOST_BACKOFF))
    val membership =
        StoredMembership(table, self, identity.incarnation, clock, identity.operations::next, events)
    private val leases =
        LeaseManager(
            table = table,
            self = HolderId(self.node, identity.incarnation),
            clock = clock,
            random = identity.random,
            evidence = PredecessorEvidence { _, _, _ -> true },
            liveNodes = { membership.live },
            newOperation = identity.operations::next,
            terms = relayLeaseTerms(bounds.lease),
            events = events,
        )
    private val usageSettings =
        UsageSettings(
            window = bounds.usageWindow,
            flushEvery = 1_200.milliseconds,
            grace = 1_600.milliseconds,
            maxGrace = bounds.usageDue * WAITING_SHARE,
            closeEvery = 1.seconds,
            maxSegmentsPerWindow = MOST_SEGMENTS,
        )
    private val recorder = UsageRecorder(table, ports.wallClock, identity.incarnation, events, usageSettings)
    private val agreement = TimeAgreement(table, ports.wallClock, identity.operations::next, events)
    private val closer = ports.usage?.let {
        WindowCloser(
            table = table,
            reports = it,
            leases = leases,
            clock = ports.wallClock,
            shard = 0,
            newOperation = identity.operations::next,
            events = events,
            settings = usageSettings,
        )
    }

    private val scale = ports.scale?.let { ScaleDuty(it, leases, tables, directory, self.node, clock, events) }

    val usageMeter: UsageMeter get() = recorder

    fun start(scope: CoroutineScope) {
        scope.launch { membership.run() }
        scope.launch { agreement.run() }
        recorder.start(scope)
        closer?.start(scope)
        scale?.start(scope)
    }

    /**
     * Stores what was counted, and tries again for [patience] while the store does not take it. Leases run out by
     * themselves, so that no duty changes hands twice in a short time.
     */
    suspend fun leave(patience: Duration) {
        withTimeoutOrNull(patience) {
            while (!recorder.flush()) delay(FLUSH_PAUSE)
            membership.leave()
        }
    }

    private companion object {
        /** A transaction holds a hundred entries; each segment takes two. */
        const val MOST_SEGMENTS = 46

        /** Counts are due soon after the store is back. */
        val MOST_BACKOFF = 1.seconds
        val FLUSH_PAUSE = 100.milliseconds

        /** Part of the time until usage is due that goes to waiting; the rest is for a change of the duty's holder. */
        const val WAITING_SHARE = 0.65
    }
}
