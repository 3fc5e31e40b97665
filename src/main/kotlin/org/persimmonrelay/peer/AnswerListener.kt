package org.persimmonrelay.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.grpc.ClientCall
import io.grpc.ClientStreamTracer
import io.grpc.Metadata
import io.grpc.Status

/** Turns gRPC's callbacks into one answer. */
internal class AnswerListener<A : Any>(
    private val to: PeerAddress,
    private val departure: Departure,
    private val onHead: (Metadata) -> Unit,
    private val onEnd: (Either<PeerFailure, A>) -> Unit,
) : ClientCall.Listener<A>() {
    private var message: A? = null

    override fun onHeaders(headers: Metadata) {
        onHead(headers)
    }

    override fun onMessage(message: A) {
        this.message = message
    }

    override fun onClose(status: Status, trailers: Metadata) {
        val answer = message
        if (status.isOk && answer != null) onEnd(answer.right()) else onEnd(failure(status).left())
    }

    private fun failure(status: Status): PeerFailure {
        val reason = status.cause?.message ?: status.description.orEmpty()
        val text = "${to.node} at ${to.host}:${to.port}: ${status.code} $reason"
        return when (status.code) {
            Status.Code.DEADLINE_EXCEEDED, Status.Code.CANCELLED -> PeerFailure.TimedOut(text)
            Status.Code.UNAVAILABLE -> lostConnection(text)
            else -> PeerFailure.Rejected(text)
        }
    }

    /** A connection lost after the request may have left says nothing about whether the peer acted on it. */
    private fun lostConnection(text: String): PeerFailure =
        if (departure.begun) PeerFailure.TimedOut(text) else PeerFailure.Unreachable(text)
}

/** Tells whether any byte of a call may have left this node. */
internal class Departure : ClientStreamTracer.Factory() {
    @Volatile
    var begun = false
        private set

    override fun newClientStreamTracer(info: ClientStreamTracer.StreamInfo, headers: Metadata) =
        object : ClientStreamTracer() {
            override fun outboundHeaders() {
                begun = true
            }
        }
}
