package org.persimmonrelay.fleet

import org.persimmonrelay.timeline.EventCode

/** Events of orders to engines and to the platform. */
public enum class FleetEvent(override val number: Int, override val summary: String) : EventCode {
    ORDER_DONE(1500, "An order was carried out, by its receiver's own word."),
    ORDER_DECLINED(1501, "An order ended without being carried out."),
    ORDER_UNSETTLED(1502, "An order has no certain end yet; it is sent again before any other."),
    ORDER_HELD_BACK(1503, "Orders wait for proof that an earlier holder has stopped; see the failures page."),
    DRAIN_TIMED_OUT(1504, "A drain passed its bound; the work left is resumed elsewhere."),
    LOAD_PACED(1505, "A load of weights waits for the weight store's limit."),
}
