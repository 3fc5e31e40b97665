/*
 * A server in need names how many requests a second it takes from all nodes together. Nodes share these without
 * messages: shared time is divided into slots, each of which allows a certain number of requests, and a hash of server
 * and slot tells which node a slot belongs to. Nodes that disagree for a while on who takes part still use about one
 * node's worth of each slot in total.
 */
package org.persimmonrelay.backend

import com.google.common.hash.Hashing
import org.persimmonrelay.identity.NodeId
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The slots of [instance], which takes [requestsPerSecond]. Times are Unix milliseconds of the nodes' shared clock. */
internal class LimitSlots(private val instance: ServerInstance, requestsPerSecond: Double) {
    private val rate = maxOf(requestsPerSecond, MIN_RATE)
    private val slotMillis = maxOf(MILLIS_PER_SECOND / rate, SHORTEST_SLOT.toDouble(DurationUnit.MILLISECONDS))

    /** Requests that the owner of a slot may send in it. */
    val requestsPerSlot: Int = floor(rate * slotMillis / MILLIS_PER_SECOND + ROUNDING).toInt().coerceAtLeast(1)

    /**
     * The slots of [self] that it may use at [nowMillis], oldest first; [nodes] share the limit. A slot may be used for
     * a while after its end, since requests do not come when their slot does.
     */
    fun usable(self: NodeId, nodes: List<NodeId>, nowMillis: Long): List<Long> {
        val current = slotAt(nowMillis)
        val first = minOf(slotAt(nowMillis - USABLE_AFTER.inWholeMilliseconds) + 1, current)
        return (first..current).filter { owner(it, nodes) == self }
    }

    private fun slotAt(millis: Long) = floor(millis / slotMillis).toLong()

    private fun owner(slot: Long, nodes: List<NodeId>): NodeId? {
        if (nodes.isEmpty()) return null
        val key = "${instance.id}\u0000${instance.startedAtMillis}\u0000$slot"
        return nodes[Math.floorMod(HASH.hashUnencodedChars(key).asLong(), nodes.size)]
    }

    private companion object {
        val HASH = Hashing.murmur3_128()
        const val MILLIS_PER_SECOND = 1_000.0

        /** A server that takes nothing gets a request now and then, whose response may say that it takes more. */
        const val MIN_RATE = 0.1

        /** Shorter slots would end before a request of their owner comes. */
        val SHORTEST_SLOT = 50.milliseconds
        val USABLE_AFTER: Duration = 1.seconds
        const val ROUNDING = 1e-9
    }
}
