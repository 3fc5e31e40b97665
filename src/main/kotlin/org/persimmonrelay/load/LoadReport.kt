/*
 * What nodes tell each other of the work that they have at backend servers, so that each places new work by the load
 * of all. A report is one datagram: only the newest counts, and one that is lost is made up for by the next. Nothing
 * depends on them but the choice of a server.
 */
package org.persimmonrelay.load

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf
import org.persimmonrelay.backend.ServerWork
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId

/** The work of [node] at backend servers. [sequence] grows with each report of one [incarnation]. */
@Serializable
internal data class LoadReport(
    val node: NodeId,
    val incarnation: Incarnation,
    val sequence: Long,
    val work: List<ServerWork>,
) {
    @OptIn(ExperimentalSerializationApi::class)
    fun encode(): ByteArray = ProtoBuf.encodeToByteArray(serializer(), this)

    companion object {
        /** The report in [bytes]; null when they hold none. */
        @OptIn(ExperimentalSerializationApi::class)
        fun decode(bytes: ByteArray): LoadReport? = try {
            ProtoBuf.decodeFromByteArray(serializer(), bytes)
        } catch (_: SerializationException) {
            // The exchange logs it.
            null
        }
    }
}
