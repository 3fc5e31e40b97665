package org.persimmonrelay.forward

import org.persimmonrelay.timeline.EventCode

/** Events of forwarded requests. */
public enum class ForwardEvent(override val number: Int, override val summary: String) : EventCode {
    REQUEST_ANSWERED(2700, "A backend server's complete response was sent to the caller."),
    REQUEST_REFUSED(2701, "The request was refused and has not run; the field `reason` says why."),
    REQUEST_FAILED(2702, "The request may have run, but the caller got no complete response; see `attempts`."),
    CALLER_LEFT(2703, "The caller disconnected before its response was complete; the request was cancelled."),
    ATTEMPT_ENDED(2704, "An attempt failed; the request is retried at another server or ends."),
    REQUEST_UNREADABLE(2705, "A request was malformed, too large or too slow, and was rejected."),
    REQUEST_BROKE(2706, "A request failed with an unexpected error; report it with the fields."),
    REQUEST_LINES_DROPPED(2707, "Too many requests ended within a second to log each; the metrics count all of them."),
    ENGINE_REPORTS_FOLLOWED(2709, "An engine reports its prompt cache; requests are placed by these reports."),
    ENGINE_REPORTS_LOST(2710, "An engine's cache reports fail; requests are placed by what this node has sent to it."),
    SERVICE_DEMAND(
        2711,
        "The work that this node's callers asked of a service, in engines and slots that it keeps busy.",
    ),
    ATTEMPT_OVERDUE(
        2712,
        "A server's response is overdue; the attempt goes on, and another server is asked too if one can be had.",
    ),
    ATTEMPT_REPLACED(2713, "An attempt was ended because another server goes on with the request."),
    HANDLE_NOT_FREED(2708, "An unused KV cache could not be freed; it expires on the server."),
}
