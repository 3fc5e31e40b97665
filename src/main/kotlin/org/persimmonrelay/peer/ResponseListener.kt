package org.persimmonrelay.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.grpc.ClientCall
import io.grpc.ClientStreamTracer
import io.grpc.Metadata
import io.grpc.Status

/** Passes the result of a unary call to [onEnd], and its response headers to [onHeadersReceived]. */
internal class ResponseListener<A : Any>(
    private val to: PeerAddress,
    private val sentTracer: RequestSentTracer,
    private val onHeadersReceived: (Metadata) -> Unit,
    private val onEnd: (Either<PeerFailure, A>) -> Unit,
) : ClientCall.Listener<A>() {
    private var message: A? = null

    override fun onHeaders(headers: Metadata) {
        onHeadersReceived(headers)
    }

    override fun onMessage(message: A) {
        this.message = message
    }

    override fun onClose(status: Status, trailers: Metadata) {
        val response = message
        if (status.isOk && response != null) onEnd(response.right()) else onEnd(failure(status).left())
    }

    private fun failure(status: Status): PeerFailure {
        val reason = status.cause?.message ?: status.description.orEmpty()
        val text = "${to.node} at ${to.host}:${to.port}: ${status.code} $reason"
        return when (status.code) {
            Status.Code.DEADLINE_EXCEEDED, Status.Code.CANCELLED -> PeerFailure.TimedOut(text)
            Status.Code.UNAVAILABLE -> connectionFailure(text)
            else -> PeerFailure.Rejected(text)
        }
    }

    /** If the connection failed after the request may have been sent, it is unknown whether the peer acted on it. */
    private fun connectionFailure(text: String): PeerFailure =
        if (sentTracer.mayBeSent) PeerFailure.TimedOut(text) else PeerFailure.Unreachable(text)
}

/** Tracks whether any byte of a call may have been sent. */
internal class RequestSentTracer : ClientStreamTracer.Factory() {
    @Volatile
    var mayBeSent = false
        private set

    override fun newClientStreamTracer(info: ClientStreamTracer.StreamInfo, headers: Metadata) =
        object : ClientStreamTracer() {
            override fun outboundHeaders() {
                mayBeSent = true
            }
        }
}
