package org.persimmonrelay.entry

import org.persimmonrelay.timeline.EventCode

/** Events of the entry, the HTTP server for callers. */
public enum class EntryEvent(override val number: Int, override val summary: String) : EventCode {
    LISTENING(1100, "The entry listens for requests from callers."),
    LEAVING(1101, "The entry shuts down: open requests may finish, new ones are refused as not run."),
    STOPPED(1102, "The entry has stopped; the field `cut` counts requests still open when the drain ended."),
    ATTEMPT_FAILED(1110, "An attempt on an engine failed; the request is retried if attempts remain."),
    ANSWER_GIVEN_UP(1111, "All attempts at a request failed; check the engines named in its ATTEMPT_FAILED events."),
    ANSWER_CUT(1112, "A running response was cancelled because its key was withdrawn."),
    SERVICE_CALL_FAILED(1120, "A call to a plain service returned no complete response; check the named server."),
    REQUEST_FAILED(1130, "A request failed with an unexpected error; report it with the event's fields."),
}
