package org.persimmonrelay.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoIntegerType
import kotlinx.serialization.protobuf.ProtoPacked
import kotlinx.serialization.protobuf.ProtoType
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.peer.PeerMethod

/** Encoded value of one topic. [sequence] is its origin's change number; [bytes] is empty when it was removed. */
@Serializable
internal class TopicValue(val topic: String, val sequence: Long, val bytes: ByteArray)

/** All values of one origin that the receiver lacks up to change number [sequence]. */
@Serializable
internal class OriginUpdate(
    val node: NodeId,
    val aggregate: Boolean,
    val generation: Long,
    val sequence: Long,
    val values: List<TopicValue>,
)

/** For each origin, in the same order: a hash of origin and generation, and the last known change number. */
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

/** Asks for values newer than [digest]. [aggregatesOnly] is set between regions. */
@Serializable
internal class GossipRequest(val digest: Digest, val aggregatesOnly: Boolean)

/** Values that the requesting node lacks. [wanted] lists the origins for which the responding node is behind. */
@Serializable
internal class GossipResponse(val updates: List<OriginUpdate>, val wanted: Digest)

/** Values that the receiver asked for with [GossipResponse.wanted]. */
@Serializable
internal class GossipPush(val updates: List<OriginUpdate>)

internal object GossipMethods {
    val EXCHANGE = PeerMethod("gossip", GossipRequest.serializer(), GossipResponse.serializer())
    val PUSH = PeerMethod("gossip-push", GossipPush.serializer(), MergeAck.serializer())
}
