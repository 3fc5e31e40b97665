package org.persimmonrelay.peer

import io.grpc.Context
import io.grpc.Metadata
import org.persimmonrelay.identity.NodeId

/** Metadata headers and context keys of calls between nodes. */
internal object PeerHeaders {
    /** Name of the calling node. */
    val SENDER: Metadata.Key<String> = key("pr-sender")

    /** The incarnation of the receiving node that the call is addressed to. */
    val TARGET_INCARNATION: Metadata.Key<String> = key("pr-meant")

    /** The sender's hybrid logical clock; on requests and responses. */
    val CLOCK: Metadata.Key<String> = key("pr-clock")

    /** The calling node, available to handlers. */
    val CALLER: Context.Key<NodeId> = Context.key("pr-caller")

    private fun key(name: String) = Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER)
}
