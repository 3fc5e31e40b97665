package org.persimmonrelay.cli.ctl

import io.ktor.http.HttpStatusCode

/** Exit codes of `ctl`; scripts may rely on them. */
public enum class CtlExit(public val code: Int) {
    /** The command succeeded; a change is confirmed by a majority of the nodes. */
    OK(0),

    /** The command line is invalid or a file can't be read; nothing was sent. */
    USAGE(2),

    /** An earlier or concurrent change conflicts with the command; nothing was changed. */
    CONFLICT(3),

    /** The object does not exist. */
    NOT_FOUND(4),

    /** The node or the table service is unavailable; nothing was changed. */
    UNAVAILABLE(5),

    /** The change may or may not be stored or active on the nodes; the output says how to find out. */
    OUTCOME_UNKNOWN(6),

    /** The request was invalid or not permitted; nothing was changed. */
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
