package org.persimmonrelay.entry

import io.ktor.http.Headers
import io.ktor.http.HttpHeaders

/**
 * Which headers pass between callers and plain services.
 *
 * Requests: an allow-list of standard headers and the service's own `X-…` headers, less those whose name
 * speaks of credentials or whose value contains the caller's key. Answers: all but the connection's own.
 */
internal object HeaderPolicy {
    /** Tells the service for which workspace the request runs; callers can't set it. */
    const val WORKSPACE = "X-Workspace"

    private const val OWN_PREFIX = "x-"
    private val REQUEST =
        lowerCase(
            HttpHeaders.Accept,
            HttpHeaders.AcceptEncoding,
            HttpHeaders.AcceptLanguage,
            HttpHeaders.ContentEncoding,
            HttpHeaders.ContentLanguage,
            HttpHeaders.IfMatch,
            HttpHeaders.IfNoneMatch,
            HttpHeaders.IfModifiedSince,
            HttpHeaders.IfUnmodifiedSince,
            HttpHeaders.Range,
            "Idempotency-Key",
            "Prefer",
            "Traceparent",
            "Tracestate",
        )
    private val CREDENTIALS = listOf("auth", "key", "token", "secret", "cookie", "credential", "password")
    private val CONNECTION =
        lowerCase(
            HttpHeaders.Connection,
            "Keep-Alive",
            HttpHeaders.ProxyAuthenticate,
            HttpHeaders.ProxyAuthorization,
            "Proxy-Connection",
            HttpHeaders.TE,
            HttpHeaders.Trailer,
            HttpHeaders.TransferEncoding,
            HttpHeaders.Upgrade,
            HttpHeaders.ContentLength,
            HttpHeaders.ContentType,
        )

    /** What of [headers] goes out; [key] is the caller's key, if one came. */
    fun outgoing(headers: Headers, key: String?): List<Pair<String, String>> = headers
        .entries()
        .filter { passes(it.key.lowercase()) }
        .flatMap { (name, values) -> values.map { name to it } }
        .filterNot { (_, value) -> key != null && key in value }

    /** What of a service's [headers] goes back; the content type goes with the body. */
    fun incoming(headers: Headers): List<Pair<String, String>> = headers
        .entries()
        .filterNot { it.key.lowercase() in CONNECTION }
        .flatMap { (name, values) -> values.map { name to it } }

    private fun passes(name: String): Boolean = when {
        name in REQUEST -> true
        name == WORKSPACE.lowercase() || !name.startsWith(OWN_PREFIX) -> false
        else -> CREDENTIALS.none { it in name }
    }

    private fun lowerCase(vararg names: String) = names.map { it.lowercase() }.toSet()
}
