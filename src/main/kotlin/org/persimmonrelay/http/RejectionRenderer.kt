package org.persimmonrelay.http

/** Why a request is rejected before it is handled, with the HTTP [status] of the response. */
public enum class RequestRejection(public val status: Int) {
    MALFORMED(400),
    SLOW(408),
    BODY_TOO_LARGE(413),
    HEADER_TOO_LARGE(431),
}

/** Builds the response to a request that is rejected before it is handled. Called once for each rejected request. */
public fun interface RejectionRenderer {
    public fun render(rejection: RequestRejection): CallerResponse
}
