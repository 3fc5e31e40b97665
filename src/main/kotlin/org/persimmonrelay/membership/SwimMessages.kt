package org.persimmonrelay.membership

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerMethod

/** Asks a member for a sign of life. */
@Serializable
internal data class Ping(val from: NodeId, val updates: List<MemberRecord>)

/** A sign of life. */
@Serializable
internal data class Ack(val updates: List<MemberRecord>)

/** Asks a member to probe [target]. */
@Serializable
internal data class PingRequest(val target: PeerAddress)

/** Whether the target of a [PingRequest] answered. */
@Serializable
internal data class PingReport(val answered: Boolean)

/** What a node knows of one region, in short. */
@Serializable
internal data class RegionHash(val region: Region, val hash: Long)

/** Asks for the regions that the peer knows differently. */
@Serializable
internal data class Comparison(val hashes: List<RegionHash>)

/** The peer's records of the regions that differ, and its hash of each of them. */
@Serializable
internal data class Differences(val records: List<MemberRecord>, val hashes: List<RegionHash>)

/** Records that the peer lacks. */
@Serializable
internal data class Correction(val records: List<MemberRecord>)

/** Says that a message was taken in. */
@Serializable
internal data class Taken(val count: Int)

internal object SwimMethods {
    val PING = PeerMethod("ping", Ping.serializer(), Ack.serializer())
    val PING_REQUEST = PeerMethod("ping-request", PingRequest.serializer(), PingReport.serializer())
    val COMPARE = PeerMethod("compare", Comparison.serializer(), Differences.serializer())
    val CORRECT = PeerMethod("correct", Correction.serializer(), Taken.serializer())
}
