package org.persimmonrelay.membership

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerMethod

/** Direct probe of a member. [updates] are piggybacked member records. */
@Serializable
internal data class Ping(val from: NodeId, val updates: List<MemberRecord>)

/** Response to a [Ping]. */
@Serializable
internal data class Ack(val updates: List<MemberRecord>)

/** Asks a member to probe [target] on behalf of the sender. */
@Serializable
internal data class PingRequest(val target: PeerAddress)

/** Whether the target of a [PingRequest] answered. */
@Serializable
internal data class PingReport(val answered: Boolean)

/** Hash over the records that a node has of one region. */
@Serializable
internal data class RegionHash(val region: Region, val hash: Long)

/** Asks for the records of the regions for which the peer has a different hash. */
@Serializable
internal data class Comparison(val hashes: List<RegionHash>)

/** The responding node's records of the regions that differ, and its hash of each of them. */
@Serializable
internal data class Differences(val records: List<MemberRecord>, val hashes: List<RegionHash>)

/** Records that the receiver does not have yet. */
@Serializable
internal data class Correction(val records: List<MemberRecord>)

/** Confirms that [count] records or gossip updates were received. */
@Serializable
internal data class MergeAck(val count: Int)

internal object SwimMethods {
    val PING = PeerMethod("ping", Ping.serializer(), Ack.serializer())
    val PING_REQUEST = PeerMethod("ping-request", PingRequest.serializer(), PingReport.serializer())
    val COMPARE = PeerMethod("compare", Comparison.serializer(), Differences.serializer())
    val CORRECT = PeerMethod("correct", Correction.serializer(), MergeAck.serializer())
}
