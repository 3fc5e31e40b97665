/*
 * The inner protocol: typed calls between nodes. The gRPC implementation lives beside this file; tests use
 * an in-memory one. Messages are kotlinx.serialization classes, encoded as protobuf.
 */
package org.persimmonrelay.peer

import arrow.core.Either
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import kotlin.time.Duration

/** Where a node listens for its peers, and which life of it is meant. */
@Serializable
public data class PeerAddress(val node: NodeId, val incarnation: Incarnation, val host: String, val port: Int)

/** A kind of call: its name on the wire and how its messages are encoded. */
public data class PeerMethod<Q : Any, A : Any>(
    val name: String,
    val request: KSerializer<Q>,
    val response: KSerializer<A>,
)

/** Why a call to a peer gave no answer. The peer may have acted on it, except for [Unreachable]. */
public sealed interface PeerFailure {
    public val message: String

    /** No connection. */
    public data class Unreachable(override val message: String) : PeerFailure

    /** No answer in time. */
    public data class TimedOut(override val message: String) : PeerFailure

    /** The peer answered with an error, or is not the incarnation that was meant. */
    public data class Rejected(override val message: String) : PeerFailure
}

/** Calls between nodes. Thread-safe. */
public interface PeerNetwork {
    public suspend fun <Q : Any, A : Any> call(
        to: PeerAddress,
        method: PeerMethod<Q, A>,
        request: Q,
        timeout: Duration,
    ): Either<PeerFailure, A>

    /** Answers calls of [method] with [handler]. To be called before the node joins. */
    public fun <Q : Any, A : Any> serve(method: PeerMethod<Q, A>, handler: suspend (Q) -> A)
}
