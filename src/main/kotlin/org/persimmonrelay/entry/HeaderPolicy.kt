package org.persimmonrelay.entry

import io.ktor.http.Headers
import io.ktor.http.HttpHeaders

/**
 * Decides which headers are forwarded between callers and plain services.
 *
 * Requests: an allow-list of standard headers, and custom `X-…` headers except those whose name suggests credentials
 * or whose value contains the caller's key. Responses: all but hop-by-hop headers and those that describe the body.
 */
internal object HeaderPolicy {
    /** Header with the workspace of the request, for the service. Callers can't set it. */
    const val WORKSPACE = "X-Workspace"

    private const val CUSTOM_PREFIX = "x-"
    private val FORWARDED_REQUEST_HEADERS =
        lowercaseSet(
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
    private val CREDENTIAL_WORDS = listOf("auth", "key", "token", "secret", "cookie", "credential", "password")
    private val DROPPED_RESPONSE_HEADERS =
        lowercaseSet(
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

    /** The request [headers] to forward to a service; [key] is the caller's key, null if none was sent. */
    fun requestHeaders(headers: Headers, key: String?): List<Pair<String, String>> = headers
        .entries()
        .filter { isForwarded(it.key.lowercase()) }
        .flatMap { (name, values) -> values.map { name to it } }
        .filterNot { (_, value) -> key != null && key in value }

    /** The headers of a service's response to return to the caller; the content type is set with the body. */
    fun responseHeaders(headers: Headers): List<Pair<String, String>> = headers
        .entries()
        .filterNot { it.key.lowercase() in DROPPED_RESPONSE_HEADERS }
        .flatMap { (name, values) -> values.map { name to it } }

    private fun isForwarded(name: String): Boolean = when {
        name in FORWARDED_REQUEST_HEADERS -> true
        name == WORKSPACE.lowercase() || !name.startsWith(CUSTOM_PREFIX) -> false
        else -> CREDENTIAL_WORDS.none { it in name }
    }

    private fun lowercaseSet(vararg names: String) = names.map { it.lowercase() }.toSet()
}
