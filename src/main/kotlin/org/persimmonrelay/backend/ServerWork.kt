package org.persimmonrelay.backend

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.ServerId

/**
 * What one node has under way at a server: [running] requests, [tokensAhead] prompt tokens of those that have brought
 * no first token yet. [startedAtMillis] tells the instance.
 */
@Serializable
public data class ServerWork(val server: ServerId, val startedAtMillis: Long, val running: Int, val tokensAhead: Int) {
    /** The instance that the work is at. */
    public val instance: ServerInstance
        get() = ServerInstance(server, startedAtMillis)
}
