package org.persimmonrelay.forward

/** Part of a streamed response that the caller has received over all attempts. */
internal class StreamProgress(initialEventId: Long?) {
    /** Id of the last event that the caller has received; null before the first. */
    var lastEventId: Long? = initialEventId
        private set

    /** Number of events that this node has forwarded. */
    var forwardedEvents = 0
        private set

    /**
     * True if [event] can't be part of the stream: the events before it have ids, and it has none. A server that fails
     * may write an error into its stream.
     */
    fun isForeign(event: StreamEvent): Boolean = event.id == null && lastEventId != null

    /** True if the caller has not received [event] yet. Events without an id count as new. */
    fun isNext(event: StreamEvent): Boolean {
        val last = lastEventId ?: return true
        return event.id == null || event.id > last
    }

    fun eventForwarded(event: StreamEvent) {
        forwardedEvents++
        if (event.id != null) lastEventId = event.id
    }
}
