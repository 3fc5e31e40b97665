package org.persimmonrelay.admin

import org.persimmonrelay.timeline.EventCode

/** Events of the administration API. */
public enum class AdminEvent(override val number: Int, override val summary: String) : EventCode {
    ADMIN_LISTENING(1200, "The administration API listens on this address."),
    ADMIN_REFUSED(1201, "A request to the administration API was rejected because it had no valid operator's key."),
    ADMIN_STOPPED(1202, "The administration API was stopped."),
}
