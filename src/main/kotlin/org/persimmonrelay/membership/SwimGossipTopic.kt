package org.persimmonrelay.membership

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.timeline.with
import java.util.concurrent.atomic.AtomicReference

/** A gossip topic that encodes and decodes values. A value is decoded again only when its bytes changed. */
@OptIn(ExperimentalSerializationApi::class)
internal class SwimGossipTopic<T : Any>(
    val name: String,
    private val serializer: KSerializer<T>,
    private val aggregate: ((List<T>) -> T)?,
    private val events: EventSink,
) : GossipTopic<T> {
    private val pending = AtomicReference<T?>()
    private val localValues = MutableStateFlow<Map<NodeId, T>>(emptyMap())
    private val regionValues = MutableStateFlow<Map<Region, T>>(emptyMap())
    private var decodedNodes = emptyMap<NodeId, Decoded<T>>()
    private var decodedRegions = emptyMap<Region, Decoded<T>>()

    val hasAggregate: Boolean get() = aggregate != null

    override val local: StateFlow<Map<NodeId, T>> get() = localValues

    override val regions: StateFlow<Map<Region, T>> get() = regionValues

    override fun publish(value: T) {
        pending.set(value)
    }

    fun takePending(): ByteArray? = pending.getAndSet(null)?.let(::encode)

    fun aggregateOf(values: Collection<ByteArray>): ByteArray? {
        val merge = aggregate ?: return null
        if (values.isEmpty()) return null
        return encode(merge(values.map(::decode)))
    }

    fun setLocal(values: Map<NodeId, ByteArray>) {
        decodedNodes = decodeChanged(decodedNodes, values)
        localValues.value = decodedNodes.mapValues { it.value.value }
    }

    fun setRegions(values: Map<Region, ByteArray>) {
        decodedRegions = decodeChanged(decodedRegions, values)
        regionValues.value = decodedRegions.mapValues { it.value.value }
    }

    private fun <K> decodeChanged(before: Map<K, Decoded<T>>, values: Map<K, ByteArray>): Map<K, Decoded<T>> =
        values.mapValues { (key, bytes) ->
            before[key]?.takeIf { it.bytes === bytes } ?: Decoded(bytes, decode(bytes))
        }

    private fun encode(value: T): ByteArray? {
        val bytes = ProtoBuf.encodeToByteArray(serializer, value)
        if (bytes.size <= Gossip.MAX_VALUE_BYTES) return bytes
        events.record(MembershipEvent.GOSSIP_TOO_LARGE, "topic" with name, "bytes" with bytes.size)
        return null
    }

    private fun decode(bytes: ByteArray): T = ProtoBuf.decodeFromByteArray(serializer, bytes)

    private class Decoded<T>(val bytes: ByteArray, val value: T)
}
