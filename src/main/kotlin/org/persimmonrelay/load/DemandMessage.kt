package org.persimmonrelay.load

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoBuf
import org.persimmonrelay.backend.ServiceDemand
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId

/**
 * A question of [node] for the demand on another node, if [isQuestion], or else the answer: the demand on [services]
 * that [node] has counted since it started as [incarnation], [uptimeMillis] ago.
 */
@Serializable
internal data class DemandMessage(
    val node: NodeId,
    val incarnation: Incarnation,
    val isQuestion: Boolean,
    val uptimeMillis: Long = 0,
    val services: List<ServiceDemand> = emptyList(),
) {
    private val isPlausible: Boolean
        get() = uptimeMillis >= 0 && services.all { it.isPlausible }

    @OptIn(ExperimentalSerializationApi::class)
    fun encode(): ByteArray = byteArrayOf(MARKER) + ProtoBuf.encodeToByteArray(serializer(), this)

    companion object {
        /** No [NodeLoadReport] begins so: it would be a field with the number 0, which does not exist. */
        private const val MARKER: Byte = 0

        /** True if [bytes] are meant as a message of this kind. */
        fun matches(bytes: ByteArray): Boolean = bytes.firstOrNull() == MARKER

        /** Parses the message in [bytes]; null when they are no valid message. */
        @OptIn(ExperimentalSerializationApi::class)
        fun decode(bytes: ByteArray): DemandMessage? = try {
            val body = bytes.copyOfRange(1, bytes.size)
            ProtoBuf.decodeFromByteArray(serializer(), body).takeIf { it.isPlausible }
        } catch (_: IllegalArgumentException) {
            // The caller logs it. SerializationException is a subclass.
            null
        } catch (_: IndexOutOfBoundsException) {
            // Thrown for a field that claims to be longer than the datagram. The caller logs it.
            null
        }
    }
}
