/*
 * Nodes report to each other the work that they have in flight at backend servers, so that each node places requests by
 * the load from all nodes. A report is one datagram. Only the newest counts, and the next replaces one that is lost.
 * Reports affect nothing but the choice of a server.
 */
package org.persimmonrelay.load

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoBuf
import org.persimmonrelay.backend.ServerLimit
import org.persimmonrelay.backend.ServerWork
import org.persimmonrelay.backend.SharedCacheReport
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.platform.NewestChanges

/**
 * Work that [node] has in flight at backend servers, the newest [changes] that it has read from the store, and the
 * prompt [caches] of engines that it polls, and the [limits] that servers have named to it since its last report.
 * [sequence] grows with each report of one [incarnation].
 */
@Serializable
internal data class NodeLoadReport(
    val node: NodeId,
    val incarnation: Incarnation,
    val sequence: Long,
    val work: List<ServerWork>,
    val changes: NewestChanges = NewestChanges(),
    val caches: List<SharedCacheReport> = emptyList(),
    val limits: List<ServerLimit> = emptyList(),
) {
    private val isPlausible: Boolean
        get() = work.all { it.running in 0..MAX_REQUESTS && it.tokensAhead in 0..MAX_TOKENS } &&
            caches.all { report -> report.parts.all { it.tokens in 0..MAX_TOKENS } } &&
            limits.all { limit -> limit.requestsPerSecond.let { it == null || it.isFinite() && it >= 0 } }

    @OptIn(ExperimentalSerializationApi::class)
    fun encode(): ByteArray = ProtoBuf.encodeToByteArray(serializer(), this)

    companion object {
        /** Far more than one node can have at one server. */
        private const val MAX_REQUESTS = 100_000
        private const val MAX_TOKENS = 1_000_000_000

        /** Parses the report in [bytes]; null when they are no valid report. */
        @OptIn(ExperimentalSerializationApi::class)
        fun decode(bytes: ByteArray): NodeLoadReport? = try {
            ProtoBuf.decodeFromByteArray(serializer(), bytes).takeIf { it.isPlausible }
        } catch (_: IllegalArgumentException) {
            // LoadExchange logs it. SerializationException is a subclass.
            null
        } catch (_: IndexOutOfBoundsException) {
            // Thrown for a field that claims to be longer than the datagram. LoadExchange logs it.
            null
        }
    }
}
