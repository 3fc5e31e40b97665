package org.persimmonrelay.forward

/** What a caller has got of its answer over all attempts. */
internal class StreamProgress(firstBehind: Long?) {
    /** Number of the last event that the caller has; null before the first. */
    var lastEvent: Long? = firstBehind
        private set

    /** Events passed on by this node. */
    var events = 0
        private set

    /** True when [event] continues what the caller has. */
    fun isNext(event: StreamEvent): Boolean {
        val last = lastEvent ?: return true
        return event.id == null || event.id > last
    }

    fun passed(event: StreamEvent) {
        events++
        if (event.id != null) lastEvent = event.id
    }
}
