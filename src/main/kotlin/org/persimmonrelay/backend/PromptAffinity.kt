package org.persimmonrelay.backend

import com.google.common.hash.Hashing
import org.persimmonrelay.identity.ServerId

/**
 * Rendezvous hashing of shared prompts to servers, used while engines do not report their caches. All nodes compute the
 * same servers without communication. The second server takes over while the first is busy.
 */
internal object PromptAffinity {
    /** Probability that the first and the second server of a shared prompt have it cached. */
    private val CACHE_LIKELIHOOD = listOf(0.9, 0.6)
    private val HASH = Hashing.murmur3_128()

    /** The preferred [servers] for the shared part of [request], with the probability that each has it cached. */
    fun of(request: RequestProfile, servers: List<BackendServer>): Map<ServerId, Double> {
        val key = request.shared.lastOrNull()?.id ?: return emptyMap()
        val ids = servers.map { it.instance.id }
        return ids.sortedByDescending { rank(key, it) }.zip(CACHE_LIKELIHOOD).toMap()
    }

    /** Rank of [server] for [key], the same on all nodes; the highest is preferred. */
    fun rank(key: String, server: ServerId): Long = HASH.hashUnencodedChars("$key\u0000${server.value}").asLong()
}
