package org.persimmonrelay.load

import kotlinx.coroutines.delay
import org.persimmonrelay.backend.ServerChooser
import org.persimmonrelay.backend.ServerWork
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.UdpPeer
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tells other nodes of this node's work at backend servers, and [chooser] of theirs. Confined to the traffic thread.
 */
public class LoadExchange(
    private val self: NodeId,
    private val incarnation: Incarnation,
    private val chooser: ServerChooser,
    private val transport: LoadReportTransport,
    private val recipients: () -> LoadReportRecipients,
    private val clock: Clock,
    private val events: EventSink,
) {
    private val heard = HashMap<NodeId, Heard>()
    private var sequence = 0L
    private var hasLoggedUnreadable = false
    private var lastSent: List<ServerWork> = emptyList()
    private var lastSentAt = Moment.ZERO

    private class Heard(val incarnation: Incarnation, val sequence: Long, val at: Moment)

    /** Sends reports until it is cancelled. */
    public suspend fun run() {
        var round = 0
        while (true) {
            delay(PERIOD)
            tell(isFarRound = round++ % FAR_ROUNDS == 0, clock.now())
            forgetSilent(clock.now())
        }
    }

    /** A datagram arrived. */
    public fun receive(bytes: ByteArray) {
        val report = LoadReport.decode(bytes) ?: return unreadable(bytes)
        if (report.node == self) return
        val now = clock.now()
        val before = heard[report.node]
        if (before?.incarnation == report.incarnation && before.sequence >= report.sequence) return
        if (before == null && !isKnown(report.node)) return
        heard[report.node] = Heard(report.incarnation, report.sequence, now)
        if (before == null) events.record(LoadEvent.PEER_HEARD, "node" with report.node)
        chooser.peerWork(report.node, report.work, now)
    }

    /** One line for the life of the node: whoever sends such bytes may send many. */
    private fun unreadable(bytes: ByteArray) {
        if (!hasLoggedUnreadable) events.record(LoadEvent.REPORT_UNREADABLE, "bytes" with bytes.size)
        hasLoggedUnreadable = true
    }

    internal fun tell(isFarRound: Boolean, now: Moment) {
        val work = chooser.work()
        if (work == lastSent && now - lastSentAt < LONGEST_PAUSE) return
        val peers = recipients()
        val bytes = LoadReport(self, incarnation, ++sequence, work).encode()
        peers.near.forEach { transport.send(it.address, bytes) }
        if (isFarRound) peers.far.forEach { transport.send(it.address, bytes) }
        lastSent = work
        lastSentAt = now
    }

    internal fun forgetSilent(now: Moment) {
        val silent = heard.filterValues { now - it.at > SILENCE }.keys.toList()
        silent.forEach {
            heard.remove(it)
            chooser.peerWork(it, emptyList(), now)
            events.record(LoadEvent.PEER_SILENT, "node" with it)
        }
    }

    private fun isKnown(node: NodeId) = recipients().let { peers -> (peers.near + peers.far).any { it.node == node } }

    private companion object {
        val PERIOD = 100.milliseconds

        /** Nodes of other regions hear each so many rounds. */
        const val FAR_ROUNDS = 3
        val LONGEST_PAUSE = 1.seconds
        val SILENCE = 4.seconds
    }
}

/** Who is told: [near] nodes often, [far] ones now and then. */
public data class LoadReportRecipients(val near: List<UdpPeer>, val far: List<UdpPeer>)
