package org.persimmonrelay.scale

import org.persimmonrelay.timeline.EventCode

/** Events of orders for numbers of servers. */
public enum class ScaleEvent(override val number: Int, override val summary: String) : EventCode {
    ORDER_ANSWERED(2800, "An order for a number of servers was answered; the field `answer` says how."),
    ORDER_UNANSWERED(2801, "An order for a number of servers got no answer and is sent again."),
    TARGETS_CHANGED(2802, "The numbers of servers that a service needs have changed, with the load that they are for."),
}
