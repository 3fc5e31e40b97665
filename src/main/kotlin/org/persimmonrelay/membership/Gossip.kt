package org.persimmonrelay.membership

import kotlinx.coroutines.flow.StateFlow
import kotlinx.serialization.KSerializer
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region

/**
 * Small summaries, one per topic and node, spread within seconds: each to all nodes of its region and, as one
 * aggregate a region, to all other regions. The last value that a node published counts. Values of nodes
 * that failed or left are dropped.
 */
public interface Gossip {
    /**
     * Opens the topic [name]; to be called once for each, before the node joins.
     *
     * @param aggregate makes one value of all those of a region, in any order; without it values stay in
     *   their region. Must be deterministic and keep the result within [MAX_VALUE_BYTES].
     */
    public fun <T : Any> topic(
        name: String,
        serializer: KSerializer<T>,
        aggregate: ((List<T>) -> T)? = null,
    ): GossipTopic<T>

    public companion object {
        /** Encoded size that a value may have. */
        public const val MAX_VALUE_BYTES: Int = 8 * 1024
    }
}

/** One kind of summary. Thread-safe. */
public interface GossipTopic<T : Any> {
    /** The latest value of each live node of this region, this node's own included. */
    public val local: StateFlow<Map<NodeId, T>>

    /** The latest aggregate of each other region. */
    public val regions: StateFlow<Map<Region, T>>

    /** Replaces this node's value; spread with the next round. Only the last of several in one round is sent. */
    public fun publish(value: T)
}
