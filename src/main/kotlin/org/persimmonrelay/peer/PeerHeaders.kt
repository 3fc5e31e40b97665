package org.persimmonrelay.peer

import io.grpc.Context
import io.grpc.Metadata
import org.persimmonrelay.identity.NodeId

/** What each call carries beside its message. */
internal object PeerHeaders {
    /** Name of the calling node. */
    val SENDER: Metadata.Key<String> = key("pr-sender")

    /** The incarnation that the caller means. */
    val MEANT: Metadata.Key<String> = key("pr-meant")

    /** The sender's hybrid logical clock; on requests and answers. */
    val CLOCK: Metadata.Key<String> = key("pr-clock")

    /** The calling node, within a handler. */
    val CALLER: Context.Key<NodeId> = Context.key("pr-caller")

    private fun key(name: String) = Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER)
}
