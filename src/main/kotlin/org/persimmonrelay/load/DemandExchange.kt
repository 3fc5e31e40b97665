/*
 * The node that orders servers asks all nodes for the demand on them, and gets one datagram of each. Only that node
 * needs the figures, so what a node sends for it does not grow with the number of nodes.
 */
package org.persimmonrelay.load

import org.persimmonrelay.backend.ServiceDemand
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.membership.UdpPeer
import org.persimmonrelay.scale.NodeDemand
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import kotlin.time.Duration.Companion.milliseconds

/**
 * Asks other nodes for the demand of their callers, and answers the same question. [demand] returns that of this node.
 * Datagrams of nodes that are not among [peers] are ignored. Confined to the traffic thread.
 */
public class DemandExchange(
    private val self: UdpPeer,
    private val incarnation: Incarnation,
    private val demand: () -> List<ServiceDemand>,
    private val peers: () -> List<UdpPeer>,
    private val transport: LoadReportTransport,
    private val clock: Clock,
    private val events: EventSink,
) {
    private val startedAt = clock.now()
    private var heard = ArrayList<NodeDemand>()
    private var hasLoggedUnreadable = false

    /** Returns the demand heard since the last call, with that of this node, and asks the others again. */
    public fun collect(): List<NodeDemand> {
        val collected = heard
        heard = ArrayList()
        val question = DemandMessage(self.node, incarnation, isQuestion = true).encode()
        peers().forEach { transport.send(it.address, question) }
        return collected + toDemand(answer(), self.domain)
    }

    /** Processes a datagram; false if it is for another receiver. */
    public fun receive(bytes: ByteArray): Boolean {
        if (!DemandMessage.matches(bytes)) return false
        val message = DemandMessage.decode(bytes)
        if (message == null) logUnreadable(bytes) else receive(message)
        return true
    }

    private fun receive(message: DemandMessage) {
        val peer = peers().firstOrNull { it.node == message.node } ?: return
        if (message.isQuestion) return transport.send(peer.address, answer().encode())
        if (heard.size < MAX_HEARD) heard += toDemand(message, peer.domain)
    }

    private fun answer(): DemandMessage {
        val uptime = clock.now() - startedAt
        return DemandMessage(self.node, incarnation, isQuestion = false, uptime.inWholeMilliseconds, demand())
    }

    private fun toDemand(message: DemandMessage, domain: FailureDomain) =
        NodeDemand(message.node, message.incarnation, domain, message.uptimeMillis.milliseconds, message.services)

    /** Logged once per process, because the sender of such datagrams may send many. */
    private fun logUnreadable(bytes: ByteArray) {
        if (!hasLoggedUnreadable) events.record(LoadEvent.REPORT_UNREADABLE, "bytes" with bytes.size)
        hasLoggedUnreadable = true
    }

    private companion object {
        /** Answers kept until they are collected; more come only from nodes that were not asked. */
        const val MAX_HEARD = 4_096
    }
}
