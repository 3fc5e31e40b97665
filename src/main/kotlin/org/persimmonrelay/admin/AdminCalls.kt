package org.persimmonrelay.admin

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingCall
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.persimmonrelay.catalog.CatalogJson
import org.persimmonrelay.catalog.ObjectKind
import org.persimmonrelay.catalog.ObjectRef

/** Largest request body that the administration API accepts, in bytes. */
internal const val MAX_ADMIN_BODY_BYTES = 1024 * 1024

/** The result of a successful call: the body, the HTTP status and, if not null, the version sent as `ETag`. */
internal class AdminResult<T>(
    val serializer: KSerializer<T>,
    val value: T,
    val status: HttpStatusCode = HttpStatusCode.OK,
    val version: Long? = null,
)

/** Responds with the result of [block], or with an error response for the failure that it raises. */
internal suspend fun <T> RoutingCall.handle(block: suspend Raise<AdminFailure>.() -> AdminResult<T>) {
    when (val result = either { block() }) {
        is Either.Right -> respondWith(result.value)
        is Either.Left -> respondFailure(result.value)
    }
}

private suspend fun <T> RoutingCall.respondWith(result: AdminResult<T>) {
    result.version?.let { response.headers.append(HttpHeaders.ETag, "\"$it\"") }
    respondText(CatalogJson.output.encodeToString(result.serializer, result.value), JSON, result.status)
}

private suspend fun RoutingCall.respondFailure(failure: AdminFailure) {
    val error = AdminErrors.responseTo(failure)
    respondText(CatalogJson.output.encodeToString(AdminErrorResponse.serializer(), error.body), JSON, error.status)
}

/** Decodes the request body. Unknown fields raise a failure; an empty body is decoded as `{}`. */
internal suspend fun <T> RoutingCall.body(raise: Raise<AdminFailure>, serializer: KSerializer<T>): T {
    val text = bodyText(raise).ifBlank { "{}" }
    return raise.decode(CatalogJson.input, serializer, text)
}

/** Reads the request body as text; raises a failure if it exceeds [MAX_ADMIN_BODY_BYTES]. */
internal suspend fun RoutingCall.bodyText(raise: Raise<AdminFailure>): String {
    val bytes = receiveChannel().readRemaining(MAX_ADMIN_BODY_BYTES + 1L).readByteArray()
    raise.ensure(bytes.size <= MAX_ADMIN_BODY_BYTES) { AdminFailure.TooLarge(MAX_ADMIN_BODY_BYTES) }
    return bytes.decodeToString()
}

/** Decodes [text]; raises a failure with the decoder's message if it is invalid. */
internal fun <T> Raise<AdminFailure>.decode(json: Json, serializer: KSerializer<T>, text: String): T = try {
    json.decodeFromString(serializer, text)
} catch (e: SerializationException) {
    raise(invalidBody(e))
} catch (e: IllegalArgumentException) {
    raise(invalidBody(e))
}

private fun invalidBody(cause: Exception) = AdminFailure.BadRequest(
    message = "The body can't be read: ${cause.message?.lineSequence()?.first()}",
    remedy = "Compare it with /admin/v1/openapi.json.",
)

/** The object named in the path. */
internal fun RoutingCall.ref(raise: Raise<AdminFailure>): ObjectRef =
    ObjectRef(kind(raise), parameters["name"].orEmpty())

/** The object kind named in the path; raises a failure if there is no such kind. */
internal fun RoutingCall.kind(raise: Raise<AdminFailure>): ObjectKind {
    val text = parameters["kind"].orEmpty()
    return ObjectKind.of(text) ?: raise.raise(
        AdminFailure.NotFound(
            message = "There is no kind of object called \"$text\".",
            remedy = "Use one of ${ObjectKind.entries.joinToString { it.plural }}.",
        ),
    )
}

/** True if the query has the parameter [name] with any value but `false`, or without a value. */
internal fun RoutingCall.flag(name: String): Boolean = request.queryParameters[name].let { it != null && it != "false" }

/** The version in the `If-Match` header, or null if there is none. */
internal fun RoutingCall.ifMatch(raise: Raise<AdminFailure>): Long? {
    val header = request.headers[HttpHeaders.IfMatch] ?: return null
    return header.trim('"').toLongOrNull() ?: raise.raise(
        AdminFailure.BadRequest("If-Match is \"$header\".", "Send the version as a number in quotes."),
    )
}

private val JSON = ContentType.Application.Json
