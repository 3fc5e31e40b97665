package org.persimmonrelay.membership

import org.persimmonrelay.identity.NodeId

/** News of members that still has to be passed on, each a bounded number of times, the least sent first. */
internal class UpdateQueue {
    private val pending = LinkedHashMap<NodeId, Pending>()

    fun add(record: MemberRecord) {
        pending.remove(record.node)
        pending[record.node] = Pending(record)
    }

    /** Takes updates for one message of at most [maxBytes], for a group of [members]. */
    fun take(maxBytes: Int, members: Int): List<MemberRecord> {
        if (pending.isEmpty()) return emptyList()
        val taken = mutableListOf<MemberRecord>()
        var bytes = 0
        for (next in pending.values.sortedBy { it.sent }) {
            bytes += next.record.estimatedBytes()
            if (bytes > maxBytes) break
            next.sent++
            taken += next.record
        }
        val limit = SENDS_PER_DOUBLING * (Int.SIZE_BITS - members.countLeadingZeroBits())
        pending.values.removeIf { it.sent >= limit }
        return taken
    }

    private class Pending(val record: MemberRecord) {
        var sent = 0
    }

    private companion object {
        const val SENDS_PER_DOUBLING = 3
    }
}
