package org.persimmonrelay.fleet

import org.persimmonrelay.timeline.EventCode

/** Events of orders to engines and to the platform. */
public enum class FleetEvent(override val number: Int, override val summary: String) : EventCode {
    ORDER_DONE(1500, "The receiver of an order reported it done."),
    ORDER_DECLINED(1501, "An order ended without being carried out."),
    ORDER_UNSETTLED(1502, "The outcome of an order is not known yet; it is sent again before any other."),
    ORDER_HELD_BACK(1503, "Orders wait for evidence that an earlier lease holder has stopped; see the failures page."),
    DRAIN_TIMED_OUT(1504, "A drain timed out; its remaining requests are resumed on other servers."),
    LOAD_PACED(1505, "A load of weights is delayed by the weight store's limit."),
}
