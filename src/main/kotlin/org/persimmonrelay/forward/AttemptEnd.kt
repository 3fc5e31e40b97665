package org.persimmonrelay.forward

import org.persimmonrelay.http.CallerResponse

/** How one send to one server ended. */
internal sealed interface AttemptEnd {
    /** One word for the log. */
    val label: String

    /** The caller has the whole answer, with [status]. */
    data class Delivered(val status: Int) : AttemptEnd {
        override val label = "delivered-$status"
    }

    /** The prompt was read; [handle] names what came of it. */
    data class PromptRead(val handle: KvHandle) : AttemptEnd {
        override val label = "read"
    }

    /** The server did not run the request and will not; [arrived] when it was told of it at all. */
    data class NotRun(override val label: String, val arrived: Boolean) : AttemptEnd

    /**
     * The server may have run the request. [answer] is what it said, when that was a whole answer; it goes to the
     * caller if there is no further attempt.
     */
    data class Failed(override val label: String, val answer: CallerResponse? = null) : AttemptEnd
}
