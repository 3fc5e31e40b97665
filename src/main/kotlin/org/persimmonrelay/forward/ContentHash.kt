package org.persimmonrelay.forward

import org.persimmonrelay.http.CallerExchange
import org.persimmonrelay.identity.WorkspaceId
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Identifies what a request asks for: the same for requests of one workspace with the same method, host, target and
 * body, whatever their ids and other headers are, on every node.
 */
internal fun contentHash(exchange: CallerExchange, workspace: WorkspaceId?): String {
    val head = exchange.head
    val host = head.headers.get("Host").orEmpty().substringBefore(':').lowercase()
    val digest = MessageDigest.getInstance("SHA-256")
    // Fields can't contain a line break, so that different fields never give the same text.
    val fields = listOf(head.method, host, head.target, workspace?.value.orEmpty()).joinToString("\n", postfix = "\n")
    digest.update(fields.encodeToByteArray())
    digest.update(exchange.body)
    return HexFormat.of().formatHex(digest.digest(), 0, HASH_BYTES)
}

private const val HASH_BYTES = 12
