package org.persimmonrelay.entry

import io.ktor.http.HttpMethod

/** A request to send to a plain service. [target] is the path and query exactly as the caller sent them. */
internal class ServiceRequest(
    val method: HttpMethod,
    val target: String,
    val headers: List<Pair<String, String>>,
    val contentType: String?,
    val body: ByteArray,
)

/** The response of a plain service. */
internal class ServiceResponse(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val contentType: String?,
    val body: ByteArray,
)

/** How a call to a plain service ended. */
internal sealed interface ServiceCallOutcome {
    class Answered(val response: ServiceResponse) : ServiceCallOutcome

    /** No byte was sent, so the request was not run. */
    class NotSent(val message: String) : ServiceCallOutcome

    /** The service may have run the request. */
    class Unknown(val message: String) : ServiceCallOutcome
}
