package org.persimmonrelay.backend

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.ServerId

/** A prompt part of which an engine has [tokens] in its cache; 0 once it was evicted. */
@Serializable
public data class SharedCachePart(val id: String, val tokens: Int)

/**
 * What a node that polls the engine [server] tells other nodes of its prompt cache: [parts] that have changed, and some
 * of the others again. [startedAtMillis], in Unix time, and [epoch] identify the engine's run.
 */
@Serializable
public data class SharedCacheReport(
    val server: ServerId,
    val startedAtMillis: Long,
    val epoch: String,
    val parts: List<SharedCachePart>,
) {
    /** The engine's instance. */
    public val instance: ServerInstance
        get() = ServerInstance(server, startedAtMillis)
}
