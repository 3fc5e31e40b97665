package org.persimmonrelay.route

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/**
 * The configuration in force on this node. It never goes back to an older version. Written on the control thread,
 * read by traffic.
 */
public class ActiveRouteTable(private val events: EventSink) {
    /** The newest version seen; null before the first. */
    @Volatile
    public var current: RouteTable? = null
        private set

    /** When the store last said that [current] is the newest version. */
    @Volatile
    public var confirmedAt: Moment? = null
        private set

    /** Takes [table] over if it is newer; the store gave it by a call that was sent at [sentAt]. */
    public fun offer(table: RouteTable, sentAt: Moment) {
        val present = current
        if (present != null && table.version < present.version) {
            events.record(
                RouteEvent.OLDER_VERSION_IGNORED,
                "version" with table.version,
                "current" with present.version,
            )
            return
        }
        confirm(sentAt)
        if (present?.version == table.version) return
        current = table
        events.record(
            RouteEvent.VERSION_IN_FORCE,
            "version" with table.version,
            "previous" with present?.version,
            "routes" with table.routeCount,
            "keys" with table.keyCount,
        )
    }

    /** The store said, by a call sent at [sentAt], that nothing has changed. */
    public fun confirm(sentAt: Moment) {
        val before = confirmedAt
        if (before == null || sentAt > before) confirmedAt = sentAt
    }
}
