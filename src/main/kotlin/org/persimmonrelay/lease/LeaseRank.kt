package org.persimmonrelay.lease

import org.persimmonrelay.identity.NodeId

/** Ranks nodes for a duty by rendezvous hashing, so that duties spread over nodes and few nodes watch each. */
internal object LeaseRank {
    /** The rank of [self] among [nodes], from 0. */
    fun of(self: NodeId, duty: Duty, nodes: Collection<NodeId>): Int {
        val own = weight(self, duty)
        return nodes.count {
            it != self && (weight(it, duty) > own || weight(it, duty) == own && it.value < self.value)
        }
    }

    /** FNV-1a over both names with a final mix, since names that differ in one digit would else rank alike. */
    private fun weight(node: NodeId, duty: Duty): Long {
        var hash = FNV_OFFSET
        for (char in node.value + "/" + duty.name) {
            hash = (hash xor char.code.toLong()) * FNV_PRIME
        }
        hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_FACTOR
        return hash xor (hash ushr MIX_SHIFT)
    }

    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
    private const val MIX_FACTOR = -0x61c8864680b583ebL
    private const val MIX_SHIFT = 31
}
