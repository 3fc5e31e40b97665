package org.persimmonrelay.timeline

/** The package that an event belongs to, with its range of 100 event numbers starting at [first]. */
public enum class EventArea(public val first: Int, public val label: String) {
    NODE(1000, "node"),
    ENTRY(1100, "entry"),
    ADMIN(1200, "admin"),
    CATALOG(1300, "catalog"),
    LEASE(1400, "lease"),
    FLEET(1500, "fleet"),
    ONCE(1600, "once"),
    USAGE(1700, "usage"),
    MEMBERSHIP(1800, "membership"),
    PEER(1900, "peer"),
    PLATFORM(2000, "platform"),
    ENGINE(2100, "engine"),
    ROUTING(2200, "routing"),
    FAIRNESS(2300, "fairness"),
    SETTINGS(2400, "settings"),
    ROUTE(2500, "route"),
    BACKEND(2600, "backend"),
    FORWARD(2700, "forward"),
    SCALE(2800, "scale"),
    ADAPTER(2900, "adapter"),
    LOAD(3000, "load"),
    TIMELINE(3100, "timeline"),
    QUARANTINE(3200, "quarantine"),
    ;

    /** The event numbers of this area. */
    public val numbers: IntRange get() = first until first + RANGE

    public companion object {
        private const val RANGE = 100

        /** The area whose range contains [number], or null. */
        public fun of(number: Int): EventArea? = entries.firstOrNull { number in it.numbers }
    }
}
