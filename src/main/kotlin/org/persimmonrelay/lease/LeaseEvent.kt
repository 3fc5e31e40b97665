package org.persimmonrelay.lease

import org.persimmonrelay.timeline.EventCode

/** Events of leases. */
public enum class LeaseEvent(override val number: Int, override val summary: String) : EventCode {
    TAKEN_FREE(1400, "This node took a lease that had no holder."),
    TAKEN_OVER(1401, "This node took over a lease after its holder had stopped renewing it."),
    LAPSED(1402, "This node could not renew a lease in time and stopped using it; check the table service."),
    LOST(1403, "Another node took over a lease from this one."),
    RELEASED(1404, "This node released a lease."),
    WATCH_RESTARTED(1405, "A read of a lease failed; the time without a renewal is counted again from the next read."),
    PREDECESSOR_STOPPED(1406, "Earlier holders have stopped; with none left, orders may go to all receivers."),
    PREDECESSOR_UNKNOWN(1407, "An earlier holder is not known to have stopped; restart its node or remove its host."),
    STEPPED_DOWN(1408, "This node stepped down from a lease because its successor asked."),
    READ_AFTER_RESTORE(1409, "The store was restored; this node has read whether a lease is still its own."),
}
