package org.persimmonrelay.platform

import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with

/**
 * How often the store has been restored from an older copy, according to its responses.
 *
 * A restore loses transactions that the store has acknowledged since the copy was made, and the store assigns their
 * versions again. Versions from before and after a restore must therefore not be compared. Written on the control
 * thread.
 */
public class RestoreCounter(private val events: EventSink) {
    private var isKnown = false

    /** The highest number of restores that a response has named. */
    @Volatile
    public var count: Long = 0
        private set

    /** Records that a response named [restores]. Responses may arrive out of order, so a lower number is ignored. */
    public fun record(restores: Long) {
        val before = count.takeIf { isKnown }
        isKnown = true
        if (restores <= count) return
        count = restores
        if (before != null) {
            events.record(PlatformEvent.STORE_RESTORED, "restores" with restores, "before" with before)
        }
    }
}
