package org.persimmonrelay.platform

import org.persimmonrelay.timeline.EventCode

/** Events of the platform's interfaces. */
public enum class PlatformEvent(override val number: Int, override val summary: String) : EventCode {
    STORE_LOST(2000, "The store does not respond; this node continues with the data it last read."),
    STORE_REGAINED(2001, "The store responds again."),
    HISTORY_LOST(2002, "The store no longer has the requested changes; the table is read again in full."),
    CHANGE_MISSED(2004, "Another node has read a change that did not arrive here; the table is read again in full."),
    STORE_RESTORED(
        2005,
        "The store was restored from an older copy; what it has acknowledged since that copy was made may be lost.",
    ),
    TIME_AGREED(2003, "The nodes have agreed on a shared wall-clock time."),
}
