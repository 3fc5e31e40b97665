package org.persimmonrelay.http

import io.netty.handler.codec.http.HttpHeaders

/** How the end of an answer's body is marked. */
public enum class Framing {
    /** By a length, in chunks, or there is no body: a missing end is noticed. */
    DELIMITED,

    /** By the end of the connection. */
    UNTIL_CLOSE,
}

/** A part of an answer as it arrives on a connection, in order. */
public sealed interface ResponsePart {
    /** Status line and headers. */
    public data class Head(val status: Int, val headers: HttpHeaders, val framing: Framing) : ResponsePart

    /** Bytes of the body. */
    public class Data(public val bytes: ByteArray) : ResponsePart

    /** The body is complete. */
    public data object End : ResponsePart

    /** The connection ended or became unusable before the answer was complete. */
    public data class Broken(val reason: String) : ResponsePart
}
