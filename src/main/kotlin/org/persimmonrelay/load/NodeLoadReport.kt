/*
 * Nodes report to each other the work that they have in flight at backend servers, so that each node places requests by
 * the load from all nodes. A report is one datagram. Only the newest counts, and the next replaces one that is lost.
 * Reports affect nothing but the choice of a server.
 */
package org.persimmonrelay.load

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf
import org.persimmonrelay.backend.ServerWork
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId

/** Work that [node] has in flight at backend servers. [sequence] grows with each report of one [incarnation]. */
@Serializable
internal data class NodeLoadReport(
    val node: NodeId,
    val incarnation: Incarnation,
    val sequence: Long,
    val work: List<ServerWork>,
) {
    @OptIn(ExperimentalSerializationApi::class)
    fun encode(): ByteArray = ProtoBuf.encodeToByteArray(serializer(), this)

    companion object {
        /** Parses the report in [bytes]; null when they are no valid report. */
        @OptIn(ExperimentalSerializationApi::class)
        fun decode(bytes: ByteArray): NodeLoadReport? = try {
            ProtoBuf.decodeFromByteArray(serializer(), bytes)
        } catch (_: SerializationException) {
            // LoadExchange logs it.
            null
        }
    }
}
