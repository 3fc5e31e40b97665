package org.persimmonrelay.node

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.serialization.KSerializer
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.membership.Gossip
import org.persimmonrelay.membership.GossipTopic

/** Gossip between nodes of one region that all receive each value immediately. */
internal class FakeGossip {
    private val topics = HashMap<String, MutableStateFlow<Map<NodeId, Any>>>()

    /** The gossip as [node] sees it. */
    fun of(node: String): Gossip = object : Gossip {
        @Suppress("UNCHECKED_CAST")
        override fun <T : Any> topic(
            name: String,
            serializer: KSerializer<T>,
            aggregate: ((List<T>) -> T)?,
        ): GossipTopic<T> {
            val values = topics.getOrPut(name) { MutableStateFlow(emptyMap()) }
            return FakeTopic(NodeId(node), values as MutableStateFlow<Map<NodeId, T>>)
        }
    }

    /** Removes a failed node's values from all topics. */
    fun removeNode(node: String) {
        topics.values.forEach { it.value -= NodeId(node) }
    }

    private class FakeTopic<T : Any>(private val node: NodeId, override val local: MutableStateFlow<Map<NodeId, T>>) :
        GossipTopic<T> {
        override val regions = MutableStateFlow<Map<Region, T>>(emptyMap())

        override fun publish(value: T) {
            local.value += node to value
        }
    }
}
