package org.persimmonrelay.forward

import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.backend.BackendDirectory
import org.persimmonrelay.backend.InFlightRequest
import org.persimmonrelay.backend.Placement
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.http.ConnectionPool
import org.persimmonrelay.http.HttpConnection
import org.persimmonrelay.http.OutgoingRequest
import org.persimmonrelay.http.ResponsePart
import kotlin.time.Duration

/** What attempts share. */
internal class AttemptTools(
    val dialect: HeaderCodec,
    val directory: BackendDirectory,
    val connections: ServerConnections,
    val clock: Clock,
    val settings: ForwardSettings,
)

/**
 * One send of [call] to the chosen server. [patience], when given, is how long the server may take to begin its
 * answer before the attempt is given up.
 */
internal class Attempt(
    private val tools: AttemptTools,
    private val call: ForwardedCall,
    private val chosen: Placement.Chosen,
    private val progress: StreamProgress,
    private val patience: Duration?,
    private val work: ServerTask,
    private val began: () -> Unit,
) {
    private val server = chosen.server

    /** True once bytes of the request may have reached the server. */
    var wasSent = false
        private set

    suspend fun run(ticket: InFlightRequest): AttemptEnd {
        val pool = tools.connections.poolFor(server, call.service.maxConnections, tools.clock.now())
        if (pool == null) {
            ticket.abandoned()
            return AttemptEnd.NotRun("no-connection-left", arrived = false)
        }
        val connection = pool.acquire(tools.clock.now(), tools.settings.connectTimeout).getOrNull()?.connection
        if (connection == null) {
            ticket.unreachable(tools.clock.now())
            return AttemptEnd.NotRun("unreachable", arrived = false)
        }
        return exchange(pool, connection, ticket)
    }

    private suspend fun exchange(
        pool: ConnectionPool,
        connection: HttpConnection,
        ticket: InFlightRequest,
    ): AttemptEnd {
        try {
            if (server.instance !in tools.directory.view) {
                ticket.abandoned()
                return AttemptEnd.NotRun("left", arrived = false)
            }
            val sentAt = tools.clock.now()
            send(connection, sentAt)
            return answer(connection, ticket, sentAt)
        } finally {
            ticket.abandoned()
            if (!connection.isReusable(tools.clock.now())) connection.close()
            pool.release(connection, tools.clock.now())
        }
    }

    private fun send(connection: HttpConnection, now: Moment) {
        val details = ServerRequestDetails(
            instance = server.instance,
            remainingTime = call.deadline - now,
            workspace = call.workspace?.id,
            priority = call.priority.takeIf { call.engine != null },
            lastEventId = progress.lastEvent,
            bodyBytes = call.exchange.body.size,
            task = work,
            fetchFrom = chosen.fetch?.from?.address,
        )
        val head = call.exchange.head
        wasSent = true
        connection.send(
            OutgoingRequest(head.method, head.target, tools.dialect.serverHeaders(head, details), call.exchange.body),
        )
    }

    private suspend fun answer(connection: HttpConnection, ticket: InFlightRequest, sentAt: Moment): AttemptEnd {
        val head = within(patience) { ownHead(connection) } ?: return failed(ticket, "silent")
        if (head is ResponsePart.Broken) return failed(ticket, "broken: ${head.reason}")
        head as ResponsePart.Head
        val signals = tools.dialect.parseResponse(head.headers)
        val reader = AnswerReader(connection, head, tools.clock)
        if (signals.notExecuted || head.status == MISDIRECTED) {
            ticket.rejected(tools.clock.now())
            reader.whole(tools.settings.bufferedBytes, TAIL_PATIENCE)
            return AttemptEnd.NotRun("turned-away-${head.status}", arrived = true)
        }
        if (work is ServerTask.Prefill) return promptRead(reader, ticket, sentAt)
        if (!signals.hasServerProof) return failed(ticket, "no proof with ${head.status}")
        val delivery = Delivery(tools, call, progress, ticket, sentAt, patience, began)
        return delivery.deliver(reader)
    }

    private suspend fun promptRead(reader: AnswerReader, ticket: InFlightRequest, sentAt: Moment): AttemptEnd {
        val body = reader.whole(tools.settings.bufferedBytes, patience) as? ReadBody.Whole
        val handle = body?.takeIf { reader.head.status == OK }
            ?.let { tools.dialect.parseKvHandle(server.address, it.bytes) }
            ?: return failed(ticket, "no handle with ${reader.head.status}")
        ticket.firstResponse(tools.clock.now() - sentAt, tools.clock.now())
        ticket.succeeded()
        return AttemptEnd.PromptRead(handle)
    }

    /** The head of the answer to this request; late answers to earlier requests are passed over. */
    private suspend fun ownHead(connection: HttpConnection): ResponsePart {
        while (true) {
            val part = connection.receive()
            if (part is ResponsePart.Broken) return part
            if (part !is ResponsePart.Head) continue
            val id = tools.dialect.parseResponse(part.headers).requestId
            if (id == call.attributes.id || id == null && part.status >= FIRST_FAILURE) return part
        }
    }

    private fun failed(ticket: InFlightRequest, label: String): AttemptEnd {
        ticket.failed(tools.clock.now())
        return AttemptEnd.Failed(label)
    }

    private companion object {
        const val OK = 200
        const val MISDIRECTED = 421
        const val FIRST_FAILURE = 400
    }
}

/** Runs [block], for at most [bound] when there is one; null when that passed. */
internal suspend fun <T : Any> within(bound: Duration?, block: suspend () -> T): T? =
    if (bound == null) block() else withTimeoutOrNull(bound) { block() }
