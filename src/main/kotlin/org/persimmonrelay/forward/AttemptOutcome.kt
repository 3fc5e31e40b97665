package org.persimmonrelay.forward

import org.persimmonrelay.http.CallerResponse

/** How one attempt at one server ended. */
internal sealed interface AttemptOutcome {
    /** Short description for the log. */
    val label: String

    /** The complete response, with [status], was sent to the caller. */
    data class Delivered(val status: Int) : AttemptOutcome {
        override val label = "delivered-$status"
        val isSuccess: Boolean
            get() = status in SUCCESSES
    }

    /** The prompt was prefilled; [handle] identifies its KV cache. */
    data class Prefilled(val handle: KvHandle) : AttemptOutcome {
        override val label = "prefilled"
    }

    /** The server did not and will not run the request. [reachedServer] is false when the request was never sent. */
    data class NotRun(override val label: String, val reachedServer: Boolean) : AttemptOutcome

    /**
     * The server may have run the request. [response] is its complete error response, or null when there was none; it
     * goes to the caller if there is no further attempt. [serverMayHaveEnded] is true when the server closed the
     * connection within its response or sent nothing more in time.
     */
    data class Failed(
        override val label: String,
        val response: CallerResponse? = null,
        val serverMayHaveEnded: Boolean = false,
    ) : AttemptOutcome

    private companion object {
        val SUCCESSES = 200..299
    }
}
