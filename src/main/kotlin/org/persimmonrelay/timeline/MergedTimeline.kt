package org.persimmonrelay.timeline

import org.persimmonrelay.identity.NodeId

/**
 * What was collected from one node.
 *
 * @property location region and failure domain, for display.
 * @property overwritten events that the ring no longer held.
 * @property failure why nothing could be collected, or null when the node answered.
 */
public data class NodeTimeline(
    val node: NodeId,
    val location: String,
    val entries: List<TimelineEntry>,
    val overwritten: Long = 0,
    val failure: String? = null,
)

/** The events of several nodes in one causal order, and each node's [lanes] with its gaps. */
public data class MergedTimeline(val lanes: List<NodeTimeline>, val entries: List<TimelineEntry>) {
    public companion object {
        private val ORDER = compareBy<TimelineEntry>({ it.at }, { it.node.value }, { it.sequence })

        /**
         * Merges by hybrid clock and keeps the latest [limit] events. An event that was collected twice
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

        /** Events shown unless the caller says otherwise. */
        public const val DEFAULT_LIMIT: Int = 20_000
    }
}
