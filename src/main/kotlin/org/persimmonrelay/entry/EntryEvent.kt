package org.persimmonrelay.entry

import org.persimmonrelay.timeline.EventCode

/** Events of the entry. */
public enum class EntryEvent(override val number: Int, override val summary: String) : EventCode {
    LISTENING(1100, "The entry listens for callers."),
    LEAVING(1101, "The entry finishes what runs and refuses new requests as not run."),
    STOPPED(1102, "The entry has stopped; the field `cut` counts requests that outlasted the drain."),
    ATTEMPT_FAILED(1110, "An attempt on an engine failed; the answer goes on elsewhere if the budget allows."),
    ANSWER_GIVEN_UP(1111, "No engine finished the answer; look at the engines named by earlier attempts."),
    ANSWER_CUT(1112, "A running answer was ended because its key was withdrawn."),
    SERVICE_CALL_FAILED(1120, "A call to a plain service gave no whole answer; look at the server named."),
    REQUEST_FAILED(1130, "A request met an unexpected error; report it with the fields."),
}
