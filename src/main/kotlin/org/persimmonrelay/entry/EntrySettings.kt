package org.persimmonrelay.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Address and limits of the entry.
 *
 * [maxResponseBytes] limits the response of a plain service, and [connectTimeout] the time to connect to one.
 * [bodyTimeout] limits the time to receive a request's body, [writeTimeout] the time a write to a caller may block.
 * The keys of waiting and running requests are checked every [keyCheckInterval]; a running response whose key was
 * withdrawn may continue for [withdrawnKeyGrace]. [maxAttempts] limits the attempts at one request on engines, and
 * [maxWorkspaceLabels] the workspaces that metrics name.
 */
public data class EntrySettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val maxBodyBytes: Long = DEFAULT_BODY_BYTES,
    val maxHeaderBytes: Int = DEFAULT_HEADER_BYTES,
    val maxOpenRequests: Int = 20_000,
    val maxResponseBytes: Long = DEFAULT_RESPONSE_BYTES,
    val connectTimeout: Duration = 2.seconds,
    val bodyTimeout: Duration = 10.seconds,
    val writeTimeout: Duration = 30.seconds,
    val withdrawnKeyGrace: Duration = 30.seconds,
    val keyCheckInterval: Duration = 200.milliseconds,
    val maxAttempts: Int = 4,
    val maxWorkspaceLabels: Int = 50,
) {
    private companion object {
        const val DEFAULT_BODY_BYTES = 8L * 1024 * 1024
        const val DEFAULT_RESPONSE_BYTES = 32L * 1024 * 1024
        const val DEFAULT_HEADER_BYTES = 32 * 1024
    }
}
