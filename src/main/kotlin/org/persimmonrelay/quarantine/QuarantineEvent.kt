package org.persimmonrelay.quarantine

import org.persimmonrelay.timeline.EventCode

/** Events of the quarantine of requests that end servers. */
public enum class QuarantineEvent(override val number: Int, override val summary: String) : EventCode {
    SERVER_LOST(
        3200,
        "A backend server ended as it began to run a request; its content and prompt parts are suspected.",
    ),
    REQUESTS_QUARANTINED(
        3201,
        "Servers ended one after the other under a prompt part or a repeated request; such requests are refused.",
    ),
    REQUESTS_RELEASED(3202, "Requests are no longer quarantined: that expired, or other causes explain the losses."),
    LEDGER_STORED(3203, "This node added its observations to the ledger of all nodes."),
    LEDGER_NOT_STORED(3204, "Observations of lost servers could not be stored; only this node knows them for now."),
    LEDGER_UNREADABLE(3205, "The stored ledger of lost servers can't be decoded; it is ignored and written anew."),
}
