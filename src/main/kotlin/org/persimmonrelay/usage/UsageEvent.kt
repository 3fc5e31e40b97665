package org.persimmonrelay.usage

import org.persimmonrelay.timeline.EventCode

/** Events of metering. */
public enum class UsageEvent(override val number: Int, override val summary: String) : EventCode {
    SEGMENT_LATE(1700, "Usage could not be stored at once and is kept in memory; check the table service."),
    WINDOW_CLOSED(1701, "A window's figures were fixed."),
    WINDOW_REPORTED(1702, "A window's figures were taken by the usage interface."),
    REPORT_LATE(1703, "The usage interface did not answer; the report is sent again, with the same bytes."),
    REPORTS_HELD_BACK(1704, "Windows wait for proof that the earlier reporter has stopped; see the failures page."),
}
