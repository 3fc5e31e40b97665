package org.persimmonrelay.peer

import org.persimmonrelay.timeline.EventCode

/** Events of the inner protocol. */
public enum class PeerEvent(override val number: Int, override val summary: String) : EventCode {
    LISTENING(1900, "The node listens for its peers."),
    CHANNEL_REPLACED(1901, "A connection to a peer went silent; later calls use a new one."),
    CALL_REJECTED(1902, "A call was meant for an earlier incarnation of this node and was rejected."),
    CERTIFICATE_REFUSED(
        1903,
        "A peer's certificate does not name a node; issue one with the node name of SECURITY.md.",
    ),
    HANDLER_FAILED(1904, "A call from a peer ended with an unexpected error; report it with the log."),
}
