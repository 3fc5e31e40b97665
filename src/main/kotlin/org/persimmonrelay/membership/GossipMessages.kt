package org.persimmonrelay.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoIntegerType
import kotlinx.serialization.protobuf.ProtoPacked
import kotlinx.serialization.protobuf.ProtoType
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.peer.PeerMethod

/** The value of one topic at its origin's change [sequence]; empty when it was withdrawn. */
@Serializable
internal class TopicValue(val topic: String, val sequence: Long, val bytes: ByteArray)

/** Values of one origin that are new to the receiver, complete up to [sequence]. */
@Serializable
internal class OriginUpdate(
    val node: NodeId,
    val aggregate: Boolean,
    val generation: Long,
    val sequence: Long,
    val values: List<TopicValue>,
)

/** For each origin, in the same order: a hash of its name and generation, and its last known change. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class Digest(
    @ProtoPacked
    @ProtoType(ProtoIntegerType.FIXED)
    val origins: List<Int>,
    @ProtoPacked
    val sequences: List<Long>,
) {
    val isEmpty: Boolean get() = origins.isEmpty()

    fun toMap(): Map<Int, Long> = origins.zip(sequences).toMap()
}

/** Asks for what is new after [digest]; between regions for aggregates only. */
@Serializable
internal class GossipRequest(val digest: Digest, val aggregatesOnly: Boolean)

/** What was new to the asking node, and what the answering one lacks. */
@Serializable
internal class GossipAnswer(val updates: List<OriginUpdate>, val wanted: Digest)

/** What the peer lacked. */
@Serializable
internal class GossipPush(val updates: List<OriginUpdate>)

internal object GossipMethods {
    val EXCHANGE = PeerMethod("gossip", GossipRequest.serializer(), GossipAnswer.serializer())
    val PUSH = PeerMethod("gossip-push", GossipPush.serializer(), Taken.serializer())
}
