package org.persimmonrelay.forward

import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.InFlightRequest
import org.persimmonrelay.backend.Placement
import org.persimmonrelay.backend.ServerRequestLimits
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.ConnectionPool
import org.persimmonrelay.http.HttpConnection
import org.persimmonrelay.http.OutgoingRequest
import org.persimmonrelay.http.ResponsePart

/** Collaborators and settings that all attempts share. */
internal class AttemptDependencies(
    val headerCodec: HeaderCodec,
    val directory: BackendDirectory,
    val connectionPools: ServerConnectionPools,
    val requestLimits: ServerRequestLimits,
    val notices: ServerNotices,
    val clock: Clock,
    val settings: ForwardSettings,
)

/** Told of the course of a response. */
internal interface ResponseListener {
    /** The server has shown that it runs the request. */
    fun responseStarted()

    /** The next bytes are for the caller and follow at once. */
    fun partArrived()
}

/**
 * One attempt to have [request] served by the chosen server. It ends with the response, with the connection, or when it
 * is cancelled; [deadline] tells when its next part is due.
 */
internal class ServerAttempt(
    private val dependencies: AttemptDependencies,
    private val request: ForwardedRequest,
    private val chosen: Placement.Chosen,
    private val task: ServerTask,
    private val progress: StreamProgress,
    private val deadline: PartDeadline,
    private val listener: ResponseListener,
) {
    private val server = chosen.server

    /** True once bytes of the request may have reached the server. */
    var wasSent = false
        private set

    suspend fun run(inFlight: InFlightRequest): AttemptOutcome {
        val pool =
            dependencies.connectionPools.poolFor(server, request.service.maxConnections, dependencies.clock.now())
        if (pool == null) {
            inFlight.abandoned()
            return AttemptOutcome.NotRun("no-connection-left", reachedServer = false)
        }
        val connection =
            pool.acquire(dependencies.clock.now(), dependencies.settings.connectTimeout).getOrNull()?.connection
        if (connection == null) {
            inFlight.unreachable(dependencies.clock.now())
            return AttemptOutcome.NotRun("unreachable", reachedServer = false)
        }
        return exchange(pool, connection, inFlight)
    }

    private suspend fun exchange(
        pool: ConnectionPool,
        connection: HttpConnection,
        inFlight: InFlightRequest,
    ): AttemptOutcome {
        try {
            if (server.instance !in dependencies.directory.view) {
                inFlight.abandoned()
                return AttemptOutcome.NotRun("left", reachedServer = false)
            }
            val sentAt = dependencies.clock.now()
            send(connection, sentAt)
            deadline.expectNext(sentAt)
            return awaitResponse(connection, inFlight, sentAt)
        } finally {
            inFlight.abandoned()
            if (!connection.isReusable(dependencies.clock.now())) connection.close()
            pool.release(connection, dependencies.clock.now())
        }
    }

    private fun send(connection: HttpConnection, now: Moment) {
        val details = ServerRequestDetails(
            instance = server.instance,
            remainingTime = request.deadline - now,
            workspace = request.workspace?.id,
            priority = request.priority.takeIf { request.engine != null },
            lastEventId = progress.lastEventId,
            bodyBytes = request.exchange.body.size,
            task = task,
            fetchFrom = chosen.fetch?.from?.address,
        )
        val head = request.exchange.head
        wasSent = true
        connection.send(
            OutgoingRequest(
                head.method,
                head.target,
                dependencies.headerCodec.serverHeaders(head, details),
                request.exchange.body,
            ),
        )
    }

    private suspend fun awaitResponse(
        connection: HttpConnection,
        inFlight: InFlightRequest,
        sentAt: Moment,
    ): AttemptOutcome {
        val head = receiveHead(connection)
        if (head is ResponsePart.Broken) return serverMayHaveEnded(inFlight, "connection failed: ${head.reason}")
        head as ResponsePart.Head
        val fields = dependencies.headerCodec.parseResponse(head.headers)
        if (fields.requestId != null) dependencies.notices.responded(server, fields, sentAt)
        val reader = ResponseReader(connection, head, dependencies.clock)
        return when {
            // It may belong to an earlier request, so it tells nothing about this one.
            fields.requestId == null -> failed(inFlight, "no request id with ${head.status}")
            fields.notExecuted || head.status == MISDIRECTED -> rejected(reader, inFlight)
            task is ServerTask.Prefill -> finishPrefill(reader, inFlight, sentAt)
            !fields.hasServerProof -> failed(inFlight, "no proof with ${head.status}")
            else -> delivery(inFlight, sentAt).deliver(reader)
        }
    }

    private suspend fun rejected(reader: ResponseReader, inFlight: InFlightRequest): AttemptOutcome {
        inFlight.rejected(dependencies.clock.now())
        withTimeoutOrNull(DRAIN_TIMEOUT) { reader.readBody(dependencies.settings.maxBufferedBytes) }
        return AttemptOutcome.NotRun("turned-away-${reader.head.status}", reachedServer = true)
    }

    private fun delivery(inFlight: InFlightRequest, sentAt: Moment) =
        ResponseDelivery(dependencies, request, progress, inFlight, sentAt, deadline, listener)

    private suspend fun finishPrefill(
        reader: ResponseReader,
        inFlight: InFlightRequest,
        sentAt: Moment,
    ): AttemptOutcome {
        deadline.expectNext(dependencies.clock.now())
        val body = reader.readBody(dependencies.settings.maxBufferedBytes) as? BodyReadResult.Complete
        val handle = body?.takeIf { reader.head.status == OK }
            ?.let { dependencies.headerCodec.parseKvHandle(server.address, it.bytes) }
            ?: return failed(inFlight, "no handle with ${reader.head.status}")
        inFlight.firstResponse(dependencies.clock.now() - sentAt, dependencies.clock.now())
        inFlight.succeeded(dependencies.clock.now())
        return AttemptOutcome.Prefilled(handle)
    }

    /**
     * Receives the head of the response to this request. Late responses to earlier requests on the connection are
     * skipped, and so are successes without a request id; all of these have at most [MAX_SKIPPED_BYTES]. An error
     * without an id ends the wait.
     */
    private suspend fun receiveHead(connection: HttpConnection): ResponsePart {
        var skippedBytes = 0
        while (true) {
            val part = connection.receive()
            if (part is ResponsePart.Broken) return part
            if (part is ResponsePart.Data) skippedBytes += part.bytes.size
            if (skippedBytes > MAX_SKIPPED_BYTES) return ResponsePart.Broken("The server sent too many other bytes.")
            if (part !is ResponsePart.Head) continue
            val fields = dependencies.headerCodec.parseResponse(part.headers)
            dependencies.notices.headArrived(server, part.status, fields)
            val id = fields.requestId
            if (id == request.attributes.id || id == null && part.status >= FIRST_ERROR_STATUS) return part
        }
    }

    private fun failed(inFlight: InFlightRequest, label: String): AttemptOutcome {
        inFlight.failed(dependencies.clock.now())
        return AttemptOutcome.Failed(label)
    }

    private fun serverMayHaveEnded(inFlight: InFlightRequest, label: String): AttemptOutcome {
        inFlight.failed(dependencies.clock.now())
        return AttemptOutcome.Failed(label, serverMayHaveEnded = true)
    }

    private companion object {
        const val OK = 200
        const val FIRST_ERROR_STATUS = 400
        const val MAX_SKIPPED_BYTES = 1024 * 1024
    }
}
