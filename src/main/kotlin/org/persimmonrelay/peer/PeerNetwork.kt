/*
 * Typed calls between nodes. GrpcPeerNetwork is the implementation; tests use an in-memory one. Messages are
 * kotlinx.serialization classes, encoded as protobuf.
 */
package org.persimmonrelay.peer

import arrow.core.Either
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import kotlin.time.Duration

/** The host and port at which one incarnation of a node accepts connections from peers. */
@Serializable
public data class PeerAddress(val node: NodeId, val incarnation: Incarnation, val host: String, val port: Int)

/** An RPC method: its name on the wire and the serializers of its messages. */
public data class PeerMethod<Q : Any, A : Any>(
    val name: String,
    val request: KSerializer<Q>,
    val response: KSerializer<A>,
)

/** Why a call to a peer failed. The peer may have acted on the request, except for [Unreachable]. */
public sealed interface PeerFailure {
    public val message: String

    /** The request was not sent because there is no connection. */
    public data class Unreachable(override val message: String) : PeerFailure

    /** No response within the timeout, or the connection failed after the request may have been sent. */
    public data class TimedOut(override val message: String) : PeerFailure

    /** The peer returned an error, for example because the call was addressed to another incarnation. */
    public data class Rejected(override val message: String) : PeerFailure
}

/** Calls between nodes. Thread-safe. */
public interface PeerNetwork {
    /** Calls [method] of the node at [to] and waits for the response for at most [timeout]. */
    public suspend fun <Q : Any, A : Any> call(
        to: PeerAddress,
        method: PeerMethod<Q, A>,
        request: Q,
        timeout: Duration,
    ): Either<PeerFailure, A>

    /** Registers [handler] for calls of [method]. To be called before the node joins. */
    public fun <Q : Any, A : Any> serve(method: PeerMethod<Q, A>, handler: suspend (Q) -> A)
}
