package org.persimmonrelay.membership

import kotlinx.coroutines.flow.StateFlow
import kotlinx.serialization.KSerializer
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region

/**
 * Distributes small values, one per topic and node, within seconds. A value goes to all nodes of its region. Other
 * regions get one aggregate of all values of the region. Only the last value that a node published is kept. Values of
 * nodes that failed or left are dropped.
 */
public interface Gossip {
    /**
     * Opens the topic [name]. To be called once for each topic, before the node joins.
     *
     * @param aggregate merges all values of a region, given in any order, into one; if null, values stay in their
     *   region. Must be deterministic, with a result of at most [MAX_VALUE_BYTES] when encoded.
     */
    public fun <T : Any> topic(
        name: String,
        serializer: KSerializer<T>,
        aggregate: ((List<T>) -> T)? = null,
    ): GossipTopic<T>

    public companion object {
        /** Maximum size of an encoded value. */
        public const val MAX_VALUE_BYTES: Int = 8 * 1024
    }
}

/** Values of one topic. Thread-safe. */
public interface GossipTopic<T : Any> {
    /** The latest value of each live node of this region, including this node. */
    public val local: StateFlow<Map<NodeId, T>>

    /** The latest aggregate of each other region. */
    public val regions: StateFlow<Map<Region, T>>

    /** Replaces this node's value. It is sent in the next gossip round; earlier values not sent yet are dropped. */
    public fun publish(value: T)
}
