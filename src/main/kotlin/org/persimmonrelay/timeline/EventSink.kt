package org.persimmonrelay.timeline

/** Takes events as they happen: the node's ring and its log in production, a list in tests. Must not block. */
public fun interface EventSink {
    public fun record(code: EventCode, vararg fields: EventField)

    public companion object {
        /** Drops everything. */
        public val NONE: EventSink = EventSink { _, _ -> }
    }
}
