package org.persimmonrelay.usage

import org.persimmonrelay.timeline.EventCode

/** Events of usage metering. */
public enum class UsageEvent(override val number: Int, override val summary: String) : EventCode {
    SEGMENT_LATE(1700, "Usage could not be stored and is retried from memory; check the table service."),
    WINDOW_CLOSED(1701, "The counts of a usage window are final."),
    WINDOW_REPORTED(1702, "The usage interface accepted the report of a window."),
    REPORT_LATE(1703, "The usage interface did not answer; the report is sent again, with the same bytes."),
    SEGMENT_IGNORED(1705, "A row of usage counts can't be read and is not counted; the field `why` gives the reason."),
    SEGMENTS_RESTORED(1706, "The store was restored; this node stores the usage again that it has lost."),
    WINDOWS_IN_DOUBT(1707, "The store was restored; windows up to this time that have no row are not reported again."),
    REPORTS_HELD_BACK(1704, "Reports wait for evidence that an earlier reporter has stopped; see the failures page."),
}
