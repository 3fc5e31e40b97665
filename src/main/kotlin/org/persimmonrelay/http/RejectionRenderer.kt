package org.persimmonrelay.http

/** Why a request is refused before it is handled. */
public enum class RequestRejection(public val status: Int) {
    MALFORMED(400),
    SLOW(408),
    BODY_TOO_LARGE(413),
    HEADER_TOO_LARGE(431),
}

/** Renders refusals of requests that could not be read, and hears of them. */
public fun interface RejectionRenderer {
    public fun answer(reject: RequestRejection): CallerResponse
}
