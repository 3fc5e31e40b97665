package org.persimmonrelay.cli.ctl

import io.ktor.http.HttpStatusCode

/** Exit codes of `ctl`; scripts may rely on them. */
public enum class CtlExit(public val code: Int) {
    /** Done, and in force on a majority of the nodes. */
    OK(0),

    /** The command line or a file can't be read; nothing was sent. */
    USAGE(2),

    /** Another operator was faster; nothing was changed. */
    CONFLICT(3),

    /** There is no such object. */
    NOT_FOUND(4),

    /** No node answered, or the table service is out; nothing was changed. */
    UNAVAILABLE(5),

    /** The change may or may not be stored or in force; the output says how to find out. */
    OUTCOME_UNKNOWN(6),

    /** The request was refused as wrong or not allowed; nothing was changed. */
    REFUSED(7),
    ;

    internal companion object {
        fun of(status: HttpStatusCode): CtlExit = when (status) {
            HttpStatusCode.OK -> OK
            HttpStatusCode.Conflict -> CONFLICT
            HttpStatusCode.NotFound -> NOT_FOUND
            HttpStatusCode.ServiceUnavailable -> UNAVAILABLE
            HttpStatusCode.Accepted, HttpStatusCode.GatewayTimeout -> OUTCOME_UNKNOWN
            else -> if (status.value >= SERVER_ERROR) OUTCOME_UNKNOWN else REFUSED
        }

        private const val SERVER_ERROR = 500
    }
}
