package org.persimmonrelay.forward

import org.persimmonrelay.timeline.EventCode

/** Events of forwarded requests. */
public enum class ForwardEvent(override val number: Int, override val summary: String) : EventCode {
    REQUEST_ANSWERED(2700, "The caller has a backend server's whole answer."),
    REQUEST_REFUSED(2701, "The request was refused and has not run; the field `reason` says why."),
    REQUEST_FAILED(2702, "The request may have run and the caller has no whole answer; see `attempts`."),
    CALLER_LEFT(2703, "The caller went away before its answer was complete; the work was stopped."),
    ATTEMPT_ENDED(2704, "An attempt failed and the request goes on elsewhere or ends."),
    REQUEST_UNREADABLE(2705, "A request could not be read and was refused."),
    REQUEST_BROKE(2706, "A request met an unexpected error; report it with the fields."),
    REQUEST_LINES_DROPPED(2707, "So many requests ended that some have no line; the counters hold all of them."),
    ENGINE_REPORTS_FOLLOWED(2709, "An engine reports what it keeps of prompts; requests are placed by that."),
    ENGINE_REPORTS_LOST(2710, "An engine's reports fail; requests are placed by what this node sent it."),
    HANDLE_NOT_FREED(2708, "KV cache that nobody takes could not be freed; it expires by itself."),
}
