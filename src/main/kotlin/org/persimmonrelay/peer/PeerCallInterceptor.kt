package org.persimmonrelay.peer

import io.grpc.Context
import io.grpc.Contexts
import io.grpc.ForwardingServerCall.SimpleForwardingServerCall
import io.grpc.Grpc
import io.grpc.Metadata
import io.grpc.ServerCall
import io.grpc.ServerInterceptor
import io.grpc.Status
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.HybridClock
import org.persimmonrelay.timeline.HybridTimestamp
import org.persimmonrelay.timeline.with
import java.security.cert.X509Certificate

/** Rejects calls that are not from a node or not addressed to this incarnation, and exchanges clock readings. */
internal class PeerCallInterceptor(
    private val incarnation: Incarnation,
    private val withTls: Boolean,
    private val clock: Clock,
    private val hybridClock: HybridClock,
    private val events: EventSink,
) : ServerInterceptor {
    override fun <Q, A> interceptCall(
        call: ServerCall<Q, A>,
        headers: Metadata,
        next: NextHandler<Q, A>,
    ): ServerCall.Listener<Q> {
        val sender = headers[PeerHeaders.SENDER] ?: return refuse(call, Status.UNAUTHENTICATED)
        if (withTls && !hasNodeCertificate(call)) {
            events.record(PeerEvent.CERTIFICATE_REFUSED, "sender" with sender)
            return refuse(call, Status.PERMISSION_DENIED.withDescription("The certificate does not name a node."))
        }
        if (headers[PeerHeaders.TARGET_INCARNATION] != incarnation.value) {
            events.record(
                PeerEvent.CALL_REJECTED,
                "sender" with sender,
                "meant" with headers[PeerHeaders.TARGET_INCARNATION],
            )
            return refuse(call, Status.FAILED_PRECONDITION.withDescription("This node is now $incarnation."))
        }
        headers[PeerHeaders.CLOCK]?.let(HybridTimestamp::parse)?.let { hybridClock.observe(it, clock.wallMillis()) }
        val context = Context.current().withValue(PeerHeaders.CALLER, NodeId(sender))
        return Contexts.interceptCall(context, ClockSendingCall(call), headers, next)
    }

    private fun hasNodeCertificate(call: ServerCall<*, *>): Boolean {
        val session = call.attributes[Grpc.TRANSPORT_ATTR_SSL_SESSION] ?: return false
        val certificate = session.peerCertificates.firstOrNull() as? X509Certificate ?: return false
        return PeerTls.isNodeCertificate(certificate)
    }

    private inner class ClockSendingCall<Q, A>(call: ServerCall<Q, A>) : SimpleForwardingServerCall<Q, A>(call) {
        override fun sendHeaders(headers: Metadata) {
            headers.put(PeerHeaders.CLOCK, hybridClock.tick(clock.wallMillis()).encode())
            super.sendHeaders(headers)
        }
    }
}
