package org.persimmonrelay.route

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.platform.StoreVersion
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/**
 * The configuration in force on this node. An older version never replaces a newer one. The same version replaces it if
 * it was written to the store later: an operator may have written it again after a restore of the store. Written on the
 * control thread, read on the traffic thread.
 */
public class ActiveRouteTable(private val events: EventSink) {
    /** The newest version received; null before the first. */
    @Volatile
    public var current: RouteTable? = null
        private set

    /** When the store last confirmed that [current] is the newest version; null before. */
    @Volatile
    public var confirmedAt: Moment? = null
        private set

    private var writtenAt = StoreVersion.NONE

    /**
     * Puts [table] in force if it is newer. It was read from the store by a call sent at [sentAt], and was written
     * there at [version] or before.
     */
    public fun offer(table: RouteTable, sentAt: Moment, version: StoreVersion = StoreVersion.NONE) {
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
        if (present?.version == table.version && version <= writtenAt) return
        writtenAt = version
        current = table
        events.record(
            RouteEvent.VERSION_IN_FORCE,
            "version" with table.version,
            "previous" with present?.version,
            "routes" with table.routeCount,
            "keys" with table.keyCount,
        )
    }

    /** Records that the store reported no change to a call sent at [sentAt]. */
    public fun confirm(sentAt: Moment) {
        val before = confirmedAt
        if (before == null || sentAt > before) confirmedAt = sentAt
    }
}
