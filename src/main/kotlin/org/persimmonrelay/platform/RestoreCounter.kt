package org.persimmonrelay.platform

import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/**
 * The number of the store's restores from an older copy, according to its responses; its start is the store's own.
 *
 * A restore loses transactions that the store has acknowledged since the copy was made, and the store assigns their
 * versions again. Versions from before and after a restore must therefore not be compared. Written on the control
 * thread.
 */
public class RestoreCounter(private val events: EventSink) {
    /** The highest number that a response has named; 0 before the first. */
    @Volatile
    public var count: Long = 0
        private set

    /** Records that a response named [restores]. Responses may arrive out of order, so a lower number is ignored. */
    public fun record(restores: Long) {
        val before = count
        if (restores <= before) return
        count = restores
        if (before != 0L) events.record(PlatformEvent.STORE_RESTORED, "restores" with restores, "before" with before)
    }
}
