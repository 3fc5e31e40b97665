package org.persimmonrelay.lease

import org.persimmonrelay.timeline.EventCode

/** Events of leases. */
public enum class LeaseEvent(override val number: Int, override val summary: String) : EventCode {
    TAKEN_FREE(1400, "This node took a lease that was free."),
    TAKEN_OVER(1401, "This node took a lease over after the holder was silent."),
    LAPSED(1402, "This node could not renew a lease in time and stopped acting; check the table service."),
    LOST(1403, "Another node took a lease over from this one."),
    RELEASED(1404, "This node gave a lease back."),
    WATCH_RESTARTED(1405, "A failed read made the evidence of silence unknown; the watch starts again."),
    PREDECESSOR_STOPPED(1406, "An earlier holder was seen to have stopped, so orders to all receivers may go out."),
    PREDECESSOR_UNKNOWN(1407, "An earlier holder was not seen to have stopped; restart its node or remove its host."),
    STEPPED_DOWN(1408, "This node stepped down from a lease because its successor asked."),
}
