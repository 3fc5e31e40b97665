package org.persimmonrelay.entry

import io.ktor.http.HttpMethod

/** A request to a plain service, as it goes out. [target] is the path and query as the caller wrote them. */
internal class ServiceCall(
    val method: HttpMethod,
    val target: String,
    val headers: List<Pair<String, String>>,
    val contentType: String?,
    val body: ByteArray,
)

/** An answer of a plain service. */
internal class ServiceAnswer(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val contentType: String?,
    val body: ByteArray,
)

/** How a call to a plain service ended. */
internal sealed interface ServiceEnd {
    class Answered(val answer: ServiceAnswer) : ServiceEnd

    /** No byte left this node. */
    class NotSent(val message: String) : ServiceEnd

    /** The service may have acted. */
    class Unknown(val message: String) : ServiceEnd
}
