package org.persimmonrelay.backend

import com.google.common.hash.Hashing
import org.persimmonrelay.identity.ServerId

/**
 * Where all nodes send a shared prompt, without a word between them, while engines don't report what they keep. The
 * second home takes over while the first has much to do.
 */
internal object PromptHomes {
    /** Likelihood that a shared prompt is kept by the first and the second server that nodes send it to. */
    private val KEEP = listOf(0.9, 0.6)
    private val HASH = Hashing.murmur3_128()

    /** The homes among [servers] of what [request] shares with others, with the likelihood that each keeps it. */
    fun of(request: RequestProfile, servers: List<BackendServer>): Map<ServerId, Double> {
        val key = request.shared.lastOrNull()?.id ?: return emptyMap()
        val ids = servers.map { it.instance.id }
        return ids.sortedByDescending { rank(key, it) }.zip(KEEP).toMap()
    }

    /** The place of [server] for [key], the same at all nodes. */
    fun rank(key: String, server: ServerId): Long = HASH.hashUnencodedChars("$key\u0000${server.value}").asLong()
}
