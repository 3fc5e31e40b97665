package org.persimmonrelay.node

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.lease.HolderId
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.lease.PredecessorEvidence
import org.persimmonrelay.membership.LiveNodeRegistry
import org.persimmonrelay.membership.UdpPeer
import org.persimmonrelay.platform.HealthTrackingTable
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.StoreHealth
import org.persimmonrelay.platform.TableClientSettings
import org.persimmonrelay.quarantine.LedgerExchange
import org.persimmonrelay.quarantine.RequestQuarantine
import org.persimmonrelay.settings.RelayBounds
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.launchSupervised
import org.persimmonrelay.usage.UsageMeter
import org.persimmonrelay.usage.UsageRecorder
import org.persimmonrelay.usage.UsageSettings
import org.persimmonrelay.usage.WindowCloser
import org.persimmonrelay.usage.WindowFlushSchedule
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Background work of a forwarding node: membership, clock agreement and usage recording on each node; closing of usage
 * windows and scaling on the node that holds the lease. Runs on the control thread.
 */
internal class RelayDuties(
    self: UdpPeer,
    bounds: RelayBounds,
    dependencies: RelayDependencies,
    identity: NodeIdentity,
    clock: Clock,
    private val events: EventSink,
    health: StoreHealth,
    quarantine: RequestQuarantine,
    traffic: CoroutineDispatcher,
    scaleInputs: ScaleInputs,
) {
    private val table =
        ReliableTable(
            HealthTrackingTable(dependencies.table, health, clock),
            clock,
            identity.random,
            TableClientSettings(maxBackoff = MAX_BACKOFF),
        )
    val membership =
        LiveNodeRegistry(
            table,
            self,
            identity.incarnation,
            clock,
            identity.operations::next,
            identity.random,
            events,
        )
    private val leases =
        LeaseManager(
            table = table,
            self = HolderId(self.node, identity.incarnation),
            clock = clock,
            random = identity.random,
            evidence = PredecessorEvidence { _, _, _ -> true },
            liveNodes = { membership.liveNodes },
            newOperation = identity.operations::next,
            terms = relayLeaseTerms(bounds.lease),
            events = events,
        )
    private val usageSettings =
        UsageSettings(
            window = bounds.usageWindow,
            grace = 1_600.milliseconds,
            maxGrace = bounds.usageDue * GRACE_FRACTION,
            closeEvery = 1.seconds,
            maxSegmentsPerWindow = MAX_SEGMENTS_PER_WINDOW,
        )
    private val usageRecorder =
        UsageRecorder(
            table,
            dependencies.wallClock,
            identity.incarnation,
            events,
            usageSettings,
            WindowFlushSchedule(bounds.usageWindow, { membership.liveNodes.size }, identity.random),
        )
    val ledgerExchange =
        LedgerExchange(
            table = table,
            quarantine = quarantine,
            quarantineThread = traffic,
            nodeCount = { membership.liveNodes.size },
            wallClock = dependencies.wallClock,
            random = identity.random,
            newOperation = identity.operations::next,
            events = events,
        )
    private val timeAgreement = TimeAgreement(table, dependencies.wallClock, identity.operations::next, events)
    private val windowCloser = dependencies.usage?.let {
        WindowCloser(
            table = table,
            reports = it,
            leases = leases,
            clock = dependencies.wallClock,
            shard = 0,
            newOperation = identity.operations::next,
            events = events,
            settings = usageSettings,
        )
    }

    private val scale = dependencies.scale?.let {
        ScaleDuty(it, leases, scaleInputs, self.node, clock, events)
    }

    val usageMeter: UsageMeter get() = usageRecorder

    fun start(scope: CoroutineScope) {
        scope.launchSupervised("membership", events) { membership.run() }
        scope.launch { timeAgreement.run() }
        scope.launchSupervised("loss ledger", events) { ledgerExchange.run() }
        usageRecorder.start(scope)
        windowCloser?.start(scope)
        scale?.start(scope)
    }

    /**
     * Stores the recorded usage and deregisters the node. Retries for at most [timeout] if the store is unavailable.
     * Leases are not released but expire, so that no duty is handed over twice in a short time.
     */
    suspend fun shutDown(timeout: Duration) {
        withTimeoutOrNull(timeout) {
            while (!usageRecorder.flush()) delay(FLUSH_RETRY_DELAY)
            membership.deregister()
        }
    }

    private companion object {
        /** A transaction is limited to 100 entries; each segment takes two of them. */
        const val MAX_SEGMENTS_PER_WINDOW = 46

        /** Short, because usage must be stored soon after the store recovers. */
        val MAX_BACKOFF = 1.seconds
        val FLUSH_RETRY_DELAY = 100.milliseconds

        /** Fraction of the time until usage is due spent waiting; the rest allows for a takeover of the duty. */
        const val GRACE_FRACTION = 0.65
    }
}
