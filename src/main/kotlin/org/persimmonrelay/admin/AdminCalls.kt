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

/** Largest body that the administration API reads, in bytes. */
internal const val MAX_ADMIN_BODY_BYTES = 1024 * 1024

/** A result and the status that goes with it. */
internal class AdminAnswer<T>(
    val serializer: KSerializer<T>,
    val value: T,
    val status: HttpStatusCode = HttpStatusCode.OK,
    val version: Long? = null,
)

/** Answers the call with what [block] makes, or with the failure that it raises. */
internal suspend fun <T> RoutingCall.answer(block: suspend Raise<AdminFailure>.() -> AdminAnswer<T>) {
    when (val result = either { block() }) {
        is Either.Right -> respondWith(result.value)
        is Either.Left -> respondFailure(result.value)
    }
}

private suspend fun <T> RoutingCall.respondWith(answer: AdminAnswer<T>) {
    answer.version?.let { response.headers.append(HttpHeaders.ETag, "\"$it\"") }
    respondText(CatalogJson.output.encodeToString(answer.serializer, answer.value), JSON, answer.status)
}

private suspend fun RoutingCall.respondFailure(failure: AdminFailure) {
    val error = AdminErrors.responseTo(failure)
    respondText(CatalogJson.output.encodeToString(AdminErrorResponse.serializer(), error.body), JSON, error.status)
}

/** The body as [serializer] reads it; unknown fields are mistakes. An empty body reads as `{}`. */
internal suspend fun <T> RoutingCall.body(raise: Raise<AdminFailure>, serializer: KSerializer<T>): T {
    val text = bodyText(raise).ifBlank { "{}" }
    return raise.decoded(CatalogJson.input, serializer, text)
}

/** The body's text, bounded. */
internal suspend fun RoutingCall.bodyText(raise: Raise<AdminFailure>): String {
    val bytes = receiveChannel().readRemaining(MAX_ADMIN_BODY_BYTES + 1L).readByteArray()
    raise.ensure(bytes.size <= MAX_ADMIN_BODY_BYTES) { AdminFailure.TooLarge(MAX_ADMIN_BODY_BYTES) }
    return bytes.decodeToString()
}

/** [text] as [serializer] reads it, or a failure that says where it goes wrong. */
internal fun <T> Raise<AdminFailure>.decoded(json: Json, serializer: KSerializer<T>, text: String): T = try {
    json.decodeFromString(serializer, text)
} catch (e: SerializationException) {
    raise(unreadable(e))
} catch (e: IllegalArgumentException) {
    raise(unreadable(e))
}

private fun unreadable(cause: Exception) = AdminFailure.BadRequest(
    message = "The body can't be read: ${cause.message?.lineSequence()?.first()}",
    remedy = "Compare it with /admin/v1/openapi.json.",
)

/** The object that the path names. */
internal fun RoutingCall.ref(raise: Raise<AdminFailure>): ObjectRef =
    ObjectRef(kind(raise), parameters["name"].orEmpty())

/** The kind that the path names. */
internal fun RoutingCall.kind(raise: Raise<AdminFailure>): ObjectKind {
    val text = parameters["kind"].orEmpty()
    return ObjectKind.of(text) ?: raise.raise(
        AdminFailure.NoSuchThing(
            message = "There is no kind of object called \"$text\".",
            remedy = "Use one of ${ObjectKind.entries.joinToString { it.plural }}.",
        ),
    )
}

/** True when the query has [name] with the value `true` or without one. */
internal fun RoutingCall.flag(name: String): Boolean = request.queryParameters[name].let { it != null && it != "false" }

/** The version in the header `If-Match`, or null without one. */
internal fun RoutingCall.ifMatch(raise: Raise<AdminFailure>): Long? {
    val header = request.headers[HttpHeaders.IfMatch] ?: return null
    return header.trim('"').toLongOrNull() ?: raise.raise(
        AdminFailure.BadRequest("If-Match is \"$header\".", "Send the version as a number in quotes."),
    )
}

private val JSON = ContentType.Application.Json
