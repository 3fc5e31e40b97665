package org.persimmonrelay.backend

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.ServerId

/**
 * Work in flight of one node at a server: [running] requests, and [tokensAhead] prompt tokens to prefill of those that
 * have no first token yet. [server] and [startedAtMillis], in Unix time, identify the instance.
 */
@Serializable
public data class ServerWork(val server: ServerId, val startedAtMillis: Long, val running: Int, val tokensAhead: Int) {
    /** The instance at which the work is in flight. */
    public val instance: ServerInstance
        get() = ServerInstance(server, startedAtMillis)
}
