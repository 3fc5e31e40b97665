/*
 * The gossip values of one node, without any I/O. Each origin numbers its changes. A digest therefore needs one
 * number for each origin, and a peer is sent exactly the values that changed after that number. A region's
 * aggregate is a separate origin from the node that computed it.
 */
package org.persimmonrelay.membership

import com.google.common.hash.Hashing
import org.persimmonrelay.identity.NodeId

/** The publisher of a value: a node for itself or, when [aggregate], for its whole region. */
internal data class Origin(val node: NodeId, val aggregate: Boolean)

/** All values that one node holds. Not thread-safe. */
internal class GossipStore(private val self: NodeId) {
    private val origins = HashMap<Origin, OriginState>()

    /** Increases whenever a value may have changed. */
    var version = 0L
        private set

    /** Replaces this node's own value of [topic] or, when [aggregate], its region's. Null removes the value. */
    fun publish(topic: String, value: ByteArray?, aggregate: Boolean, generation: Long) {
        val origin = Origin(self, aggregate)
        val state = origins[origin]?.takeIf { it.generation == generation } ?: OriginState(origin, generation)
        val known = state.values[topic]
        if (value.contentEquals(known?.bytes?.takeIf { it.isNotEmpty() })) return
        state.sequence++
        state.values[topic] = TopicValue(topic, state.sequence, value ?: EMPTY)
        origins[origin] = state
        version++
    }

    /** Merges those of [updates] that are newer and whose node [accepts]. Returns how many were merged. */
    fun merge(updates: List<OriginUpdate>, accepts: (NodeId) -> Boolean): Int {
        val newer = updates.filter { it.node != self && accepts(it.node) }.count(::merge)
        if (newer > 0) version++
        return newer
    }

    /** The latest sequence number of each origin, or of aggregates only. */
    fun digest(aggregatesOnly: Boolean): Digest {
        val known = origins.values.filter { it.origin.aggregate || !aggregatesOnly }
        return Digest(known.map { it.hash }, known.map { it.sequence })
    }

    /** Values newer than [digest], of all origins or of aggregates only, limited to about [maxBytes]. */
    fun newerThan(digest: Digest, aggregatesOnly: Boolean, maxBytes: Int): List<OriginUpdate> {
        val peerSequences = digest.toMap()
        val candidates = origins.values.filter { it.origin.aggregate || !aggregatesOnly }
        return updatesAfter(candidates, maxBytes) { peerSequences[it.hash] ?: 0 }
    }

    /** Values newer than [wanted], of the origins listed there, limited to about [maxBytes]. */
    fun requested(wanted: Digest, maxBytes: Int): List<OriginUpdate> {
        val wantedSequences = wanted.toMap()
        return updatesAfter(origins.values.filter { it.hash in wantedSequences }, maxBytes) {
            wantedSequences.getValue(it.hash)
        }
    }

    private fun updatesAfter(
        candidates: List<OriginState>,
        maxBytes: Int,
        knownTo: (OriginState) -> Long,
    ): List<OriginUpdate> {
        val updates = candidates.filter { it.sequence > knownTo(it) }.map { it.after(knownTo(it)) }
        var bytes = 0
        return updates.takeWhile { update ->
            bytes += update.values.sumOf { it.bytes.size }
            bytes <= maxBytes || update === updates.first()
        }
    }

    /** This node's digest of the origins for which [digest] is newer; empty when there are none. */
    fun missing(digest: Digest): Digest {
        val own = origins.values.associate { it.hash to it.sequence }
        val ahead = digest.toMap().filter { (hash, sequence) -> sequence > (own[hash] ?: 0) }.keys.toList()
        return Digest(ahead, ahead.map { own[it] ?: 0 })
    }

    /** Drops the values of other nodes for which [isLive] is false. */
    fun retain(isLive: (NodeId) -> Boolean) {
        if (origins.keys.removeIf { it.node != self && !isLive(it.node) }) version++
    }

    /** The current values of [topic] by the node that published them. */
    fun values(topic: String, aggregate: Boolean): Map<NodeId, ByteArray> = origins.values
        .filter { it.origin.aggregate == aggregate }
        .mapNotNull { state ->
            state.values[topic]?.bytes?.takeIf { it.isNotEmpty() }?.let { state.origin.node to it }
        }
        .toMap()

    private fun merge(update: OriginUpdate): Boolean {
        val origin = Origin(update.node, update.aggregate)
        val known = origins[origin]
        if (known != null && known.generation > update.generation) return false
        val state = known?.takeIf { it.generation == update.generation } ?: OriginState(origin, update.generation)
        if (update.sequence <= state.sequence) return false
        update.values.forEach { if (it.sequence > (state.values[it.topic]?.sequence ?: 0)) state.values[it.topic] = it }
        state.sequence = update.sequence
        origins[origin] = state
        return true
    }

    private class OriginState(val origin: Origin, val generation: Long) {
        val hash = hashOf(origin, generation)
        val values = HashMap<String, TopicValue>()
        var sequence = 0L

        fun after(known: Long) = OriginUpdate(
            origin.node,
            origin.aggregate,
            generation,
            sequence,
            values.values.filter {
                it.sequence > known
            },
        )
    }

    private companion object {
        val EMPTY = ByteArray(0)
        val HASH = Hashing.murmur3_32_fixed()

        fun hashOf(origin: Origin, generation: Long): Int =
            HASH.newHasher().putUnencodedChars(origin.node.value).putBoolean(origin.aggregate).putLong(generation)
                .hash()
                .asInt()
    }
}
