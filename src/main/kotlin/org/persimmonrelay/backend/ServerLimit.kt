package org.persimmonrelay.backend

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.ServerId

/**
 * The requests a second that a backend server takes from all nodes together, as one of its responses named it at
 * [namedAtMillis]; null when the response named no limit. [startedAtMillis] identifies the instance; both times are in
 * Unix milliseconds.
 */
@Serializable
public data class ServerLimit(
    val server: ServerId,
    val startedAtMillis: Long,
    val requestsPerSecond: Double?,
    val namedAtMillis: Long,
) {
    /** The instance that limits its requests. */
    public val instance: ServerInstance
        get() = ServerInstance(server, startedAtMillis)
}
