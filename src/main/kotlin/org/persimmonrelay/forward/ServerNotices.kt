package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.ServerRequestLimits
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment

/**
 * Records what backend servers say of themselves in the headers of their responses: that they leave, and how many
 * requests they take. Confined to the traffic thread.
 */
internal class ServerNotices(
    private val directory: BackendDirectory,
    private val requestLimits: ServerRequestLimits,
    private val metrics: ForwardMetrics,
    private val clock: Clock,
) {
    /**
     * The head of a response with [status] arrived on a connection to [server]; it may respond to an earlier request on
     * it. The head is believed if it names a request, unless the request was misdirected: then another server may have
     * the address by now.
     */
    fun headArrived(server: BackendServer, status: Int, fields: ServerResponseFields) {
        if (fields.requestId == null || status == MISDIRECTED) return
        if (fields.isLeaving) leavingHeard(server)
    }

    /** The response to a request that was sent to [server] at [sentAt] arrived. */
    fun responded(server: BackendServer, fields: ServerResponseFields, sentAt: Moment) {
        val now = clock.wallMillis()
        val sentAtMillis = now - (clock.now() - sentAt).inWholeMilliseconds
        requestLimits.responded(server.instance, fields.requestsPerSecond, sentAtMillis, now)
    }

    /** [server] responded with a valid report to a call that only this server may answer. */
    fun reported(server: BackendServer, fields: ServerResponseFields) {
        if (fields.isLeaving) leavingHeard(server)
    }

    private fun leavingHeard(server: BackendServer) {
        if (directory.leavingHeard(server.instance)) metrics.serverLeavingHeard()
    }
}

/** Status of a response to a request that was meant for another server. */
internal const val MISDIRECTED: Int = 421
