package org.persimmonrelay.load

import kotlinx.coroutines.delay
import org.persimmonrelay.backend.ServerChooser
import org.persimmonrelay.backend.ServerRequestLimits
import org.persimmonrelay.backend.ServerWork
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.UdpPeer
import org.persimmonrelay.platform.NewestChanges
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends load reports with this node's work at backend servers to other nodes, and passes their reports to [chooser].
 * Reports also carry the newest changes that each node has read from the store, which tells a node whose own connection
 * to the store has gone silent that it misses some ([feeds]). While [sharesCaches] is true, they tell of the prompt
 * caches of the engines that this node polls, because not every node can poll each. They pass on the [limits] that
 * servers have named to this node. Confined to the traffic thread.
 */
public class LoadExchange(
    private val self: NodeId,
    private val incarnation: Incarnation,
    private val chooser: ServerChooser,
    private val limits: ServerRequestLimits,
    private val transport: LoadReportTransport,
    private val recipients: () -> LoadReportRecipients,
    private val sharesCaches: () -> Boolean,
    private val feeds: FollowedFeeds,
    private val clock: Clock,
    private val events: EventSink,
) {
    private val lastReports = HashMap<NodeId, ReceivedReport>()
    private var sequence = 0L
    private var hasLoggedUnreadable = false
    private var lastSent: List<ServerWork> = emptyList()
    private var lastSentChanges = NewestChanges()
    private var lastSentAt = Moment.ZERO

    private class ReceivedReport(val incarnation: Incarnation, val sequence: Long, val at: Moment)

    /** Sends reports periodically until cancelled. */
    public suspend fun run() {
        var round = 0
        while (true) {
            delay(PERIOD * roundsPerReport(recipients()))
            sendReport(isFarRound = round++ % FAR_PEER_ROUNDS == 0, clock.now())
            expireSilentPeers(clock.now())
        }
    }

    /** With many recipients, reports are sent less often, so that a node's datagrams do not grow with their number. */
    private fun roundsPerReport(to: LoadReportRecipients): Int =
        (to.near.size + RECIPIENTS_PER_ROUND - 1).div(RECIPIENTS_PER_ROUND).coerceAtLeast(1)

    /** Processes a datagram. Ignores outdated reports and reports of unknown nodes. */
    public fun receive(bytes: ByteArray) {
        val report = NodeLoadReport.decode(bytes) ?: return logUnreadable(bytes)
        if (report.node == self) return
        val now = clock.now()
        val previous = lastReports[report.node]
        if (previous?.incarnation == report.incarnation && previous.sequence >= report.sequence) return
        if (previous == null && !isKnown(report.node)) return
        lastReports[report.node] = ReceivedReport(report.incarnation, report.sequence, now)
        if (previous == null) events.record(LoadEvent.PEER_HEARD, "node" with report.node)
        chooser.peerWork(report.node, report.work, now)
        report.caches.forEach { chooser.cacheHeard(it, now) }
        report.limits.forEach(limits::heard)
        feeds.changesSeenElsewhere(report.changes)
    }

    /** Logged once per process, because the sender of such datagrams may send many. */
    private fun logUnreadable(bytes: ByteArray) {
        if (!hasLoggedUnreadable) events.record(LoadEvent.REPORT_UNREADABLE, "bytes" with bytes.size)
        hasLoggedUnreadable = true
    }

    internal fun sendReport(isFarRound: Boolean, now: Moment) {
        val work = chooser.work()
        val changes = feeds.newestChanges
        val caches = if (sharesCaches()) chooser.cacheReports() else emptyList()
        val newLimits = limits.nextToTell(MAX_LIMITS)
        val isUnchanged = work == lastSent &&
            changes == lastSentChanges &&
            caches.all { it.parts.isEmpty() } &&
            newLimits.isEmpty()
        if (isUnchanged && now - lastSentAt < MAX_REPORT_INTERVAL) return
        val peers = recipients()
        val bytes = NodeLoadReport(self, incarnation, ++sequence, work, changes, caches, newLimits).encode()
        peers.near.forEach { transport.send(it.address, bytes) }
        if (isFarRound) peers.far.forEach { transport.send(it.address, bytes) }
        lastSent = work
        lastSentChanges = changes
        lastSentAt = now
    }

    internal fun expireSilentPeers(now: Moment) {
        val silent = lastReports.filterValues { now - it.at > PEER_TIMEOUT }.keys.toList()
        silent.forEach {
            lastReports.remove(it)
            chooser.peerWork(it, emptyList(), now)
            events.record(LoadEvent.PEER_SILENT, "node" with it)
        }
        chooser.peersReporting(lastReports.size, recipients().nodesInRegion)
    }

    private fun isKnown(node: NodeId) = recipients().let { peers -> (peers.near + peers.far).any { it.node == node } }

    private companion object {
        val PERIOD = 100.milliseconds

        /** Number of recipients in the region for which reports are sent each [PERIOD]. */
        const val RECIPIENTS_PER_ROUND = 12

        /** Nodes of other regions get a report every this many rounds. */
        const val FAR_PEER_ROUNDS = 3

        /** Limits of servers in one report; further ones follow in the next. */
        const val MAX_LIMITS = 4

        /** An unchanged load is reported again after this time. */
        val MAX_REPORT_INTERVAL = 1.seconds

        /** Time without a report after which the work of a node no longer counts. */
        val PEER_TIMEOUT = 4.seconds
    }
}

/**
 * Recipients of load reports: [near] nodes in this region each round, [far] nodes only every few rounds.
 * [nodesInRegion] is the number of other nodes in the region, recipients or not.
 */
public data class LoadReportRecipients(val near: List<UdpPeer>, val far: List<UdpPeer>, val nodesInRegion: Int) {
    /** Number of recipients. */
    val count: Int
        get() = near.size + far.size
}
