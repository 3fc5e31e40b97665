package org.persimmonrelay.http

import io.netty.handler.codec.http.HttpHeaders

/** How the end of a response body is determined. */
public enum class Framing {
    /** By a length or by chunks, or there is no body. Truncation is detected. */
    DELIMITED,

    /**
     * By the end of the connection. Truncation is detected only if the connection fails, also while the rest of the
     * request is written or on its way to the server.
     */
    UNTIL_CLOSE,
}

/** A part of a response, in the order of arrival. */
public sealed interface ResponsePart {
    /** Status line and headers. */
    public data class Head(val status: Int, val headers: HttpHeaders, val framing: Framing) : ResponsePart

    /** Bytes of the body. */
    public class Data(public val bytes: ByteArray) : ResponsePart

    /** The body is complete. */
    public data object End : ResponsePart

    /** The connection closed or failed before the response was complete. */
    public data class Broken(val reason: String) : ResponsePart
}
