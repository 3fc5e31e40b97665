package org.persimmonrelay.timeline

/** Records events: to the node's ring buffer and log in production, to a list in tests. Must not block. */
public fun interface EventSink {
    public fun record(code: EventCode, vararg fields: EventField)

    public companion object {
        /** Discards all events. */
        public val NONE: EventSink = EventSink { _, _ -> }
    }
}
