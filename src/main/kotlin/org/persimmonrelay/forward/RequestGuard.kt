package org.persimmonrelay.forward

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.RequestProfile
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.quarantine.RequestQuarantine
import org.persimmonrelay.quarantine.ServerLoss
import org.persimmonrelay.quarantine.Suspect
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps requests from servers that would end under them, and tells [quarantine] under which requests servers ended. The
 * wall-clock time of [clock] is shared by all nodes. Confined to the traffic thread.
 */
internal class RequestGuard(
    private val scope: CoroutineScope,
    private val pools: ServerConnectionPools,
    private val directory: BackendDirectory,
    private val quarantine: RequestQuarantine,
    private val clock: Clock,
) {
    /** Why no server may get [request]; null when there is no reason. */
    fun quarantined(request: RequestProfile): Suspect? = quarantine.quarantined(Suspect.of(request), clock.wallMillis())

    /** False if [request] should not be sent to another server after one has ended under it. */
    fun mayRetry(request: RequestProfile): Boolean = quarantine.mayRetry(Suspect.of(request))

    /** A request was refused because of [suspect]. */
    fun refused(suspect: Suspect) = quarantine.refused(suspect, clock.wallMillis())

    /** A server completed its response to [request]. */
    fun responseCompleted(request: RequestProfile) =
        quarantine.responseCompleted(Suspect.of(request), clock.wallMillis())

    /**
     * [server] closed the connection within its response to [request] or fell silent. The first part of the response
     * arrived at [respondedAt], null if none did. [isRetry] is true if the request had failed in the same way at
     * another server before. A server that refuses a new connection has ended; others may have failed in another way,
     * or may be cut off. A server that was leaving ends as planned and does not count.
     */
    fun serverMayHaveEnded(server: BackendServer, request: RequestProfile, respondedAt: Moment?, isRetry: Boolean) {
        if (server.instance !in directory.view) return
        val isPastStart = respondedAt != null && clock.now() - respondedAt > START_OF_RESPONSE
        if (isPastStart) return
        val instance = server.instance
        val loss = ServerLoss(instance.id, instance.startedAtMillis, clock.wallMillis(), isRetry)
        scope.launch {
            if (pools.refusesConnection(server, CONNECT_TIMEOUT)) {
                quarantine.serverLost(loss, Suspect.of(request), clock.wallMillis())
            }
        }
    }

    private companion object {
        /**
         * A request that ends a server does so when the server begins to write; a stream past that is not the cause.
         */
        val START_OF_RESPONSE = 500.milliseconds
        val CONNECT_TIMEOUT = 400.milliseconds
    }
}
