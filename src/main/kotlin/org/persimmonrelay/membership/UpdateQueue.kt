package org.persimmonrelay.membership

import org.persimmonrelay.identity.NodeId

/**
 * Member records to piggyback on outgoing messages. Each record is sent a limited number of times; the least often
 * sent records go first.
 */
internal class UpdateQueue {
    private val pending = LinkedHashMap<NodeId, Pending>()

    fun add(record: MemberRecord) {
        pending.remove(record.node)
        pending[record.node] = Pending(record)
    }

    /**
     * Returns records of at most [maxBytes] in total for one message. The number of times that a record is sent grows
     * with the logarithm of [members], the size of the group.
     */
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
        val limit = SENDS_PER_SIZE_BIT * (Int.SIZE_BITS - members.countLeadingZeroBits())
        pending.values.removeIf { it.sent >= limit }
        return taken
    }

    private class Pending(val record: MemberRecord) {
        var sent = 0
    }

    private companion object {
        const val SENDS_PER_SIZE_BIT = 3
    }
}
