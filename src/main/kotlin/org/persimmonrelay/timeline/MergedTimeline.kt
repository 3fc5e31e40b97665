package org.persimmonrelay.timeline

import org.persimmonrelay.identity.NodeId

/**
 * Events collected from one node.
 *
 * @property location region and failure domain, for display.
 * @property overwritten number of older events that the ring buffer had already overwritten.
 * @property failure why the events could not be collected, or null if they were.
 */
public data class NodeTimeline(
    val node: NodeId,
    val location: String,
    val entries: List<TimelineEntry>,
    val overwritten: Long = 0,
    val failure: String? = null,
)

/** Events of several nodes in causal order. [lanes] has one element for each node, including those not collected. */
public data class MergedTimeline(val lanes: List<NodeTimeline>, val entries: List<TimelineEntry>) {
    public companion object {
        private val ORDER = compareBy<TimelineEntry>({ it.at }, { it.node.value }, { it.sequence })

        /**
         * Merges events by hybrid timestamp and returns the latest [limit]. An event that was collected twice
         * appears once.
         */
        public fun of(lanes: List<NodeTimeline>, limit: Int = DEFAULT_LIMIT): MergedTimeline {
            val entries =
                lanes
                    .flatMap { it.entries }
                    .distinctBy { Triple(it.node, it.incarnation, it.sequence) }
                    .sortedWith(ORDER)
                    .takeLast(limit)
            return MergedTimeline(lanes.sortedWith(compareBy({ it.location }, { it.node.value })), entries)
        }

        /** Default maximum number of events. */
        public const val DEFAULT_LIMIT: Int = 20_000
    }
}
