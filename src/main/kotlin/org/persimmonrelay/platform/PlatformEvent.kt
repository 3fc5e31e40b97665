package org.persimmonrelay.platform

import org.persimmonrelay.timeline.EventCode

/** Events of the platform's interfaces. */
public enum class PlatformEvent(override val number: Int, override val summary: String) : EventCode {
    STORE_LOST(2000, "The store does not answer; this node goes on with what it knows."),
    STORE_REGAINED(2001, "The store answers again."),
    HISTORY_LOST(2002, "The store has forgotten changes; the table is read anew."),
    TIME_AGREED(2003, "The nodes' shared time of day is known."),
}
