package org.persimmonrelay.load

import org.persimmonrelay.timeline.EventCode

/** Events of the exchange of load reports between nodes. */
public enum class LoadEvent(override val number: Int, override val summary: String) : EventCode {
    PEER_HEARD(3000, "Another node reports its work at backend servers; servers are chosen by it too."),
    PEER_SILENT(3001, "Another node no longer reports its work; servers are chosen without it."),
    REPORT_UNREADABLE(3003, "A datagram at the address for other nodes is no load report; later ones are not logged."),
    ADDRESS_UNUSABLE(3002, "The address for other nodes can't be bound; servers are chosen by this node's work only."),
}
