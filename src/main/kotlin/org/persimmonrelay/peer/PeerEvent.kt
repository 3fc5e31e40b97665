package org.persimmonrelay.peer

import org.persimmonrelay.timeline.EventCode

/** Events of calls between nodes. */
public enum class PeerEvent(override val number: Int, override val summary: String) : EventCode {
    LISTENING(1900, "The node accepts connections from its peers."),
    CHANNEL_REPLACED(1901, "A connection to a peer stalled; later calls use a new connection."),
    CALL_REJECTED(1902, "A call was addressed to another incarnation of this node and was rejected."),
    CERTIFICATE_REFUSED(
        1903,
        "A peer's certificate is not a node certificate; issue one with the node name given in SECURITY.md.",
    ),
    HANDLER_FAILED(1904, "A call from a peer ended with an unexpected error; report it with the log."),
}
