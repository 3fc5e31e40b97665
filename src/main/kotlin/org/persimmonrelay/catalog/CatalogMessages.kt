/*
 * Messages between nodes about the configuration. They are encoded as protobuf. Configuration objects in them are
 * JSON, as in the table, so that objects have only one encoding.
 */
package org.persimmonrelay.catalog

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerMethod

/** A stored change as the JSON of a [Delta], sent or forwarded by [from]. */
@Serializable
internal data class ConfigPush(val from: PeerAddress, val delta: String)

/** The receiver's version after a push. [started] is false until the receiver has loaded the newest configuration. */
@Serializable
internal data class ConfigPushResponse(val version: Long, val started: Boolean)

/** Requests the versions after [after] or, when [snapshot] is above 0, one part of the snapshot of that version. */
@Serializable
internal data class ConfigFetch(val after: Long, val snapshot: Long = 0, val part: Int = 0)

/**
 * Deltas as JSON, or one part of the snapshot of version [snapshot], which has [parts] parts. Empty when nothing is
 * newer or the requested snapshot is no longer available.
 */
@Serializable
internal data class ConfigFetchResponse(
    val deltas: List<String> = emptyList(),
    val snapshot: Long = 0,
    val parts: Int = 0,
    val bytes: ByteArray = ByteArray(0),
)

/** Requests the version of a peer's configuration and its age; [version] is the sender's own. */
@Serializable
internal data class FreshnessProbe(val version: Long)

/**
 * A [FreshnessReport] on the wire. [NodeAgeCodec] encodes [nodeAges]; a negative [storeAgeMillis] means that the table
 * service has not confirmed the configuration within the freshness limit.
 */
@Serializable
internal data class FreshnessResponse(
    val from: String,
    val started: Boolean,
    val version: Long,
    val storeAgeMillis: Long,
    @SerialName("heard") val nodeAges: ByteArray,
)

/** The calls between nodes, with their names on the wire. */
internal object CatalogMethods {
    val PUSH = PeerMethod("catalog.Push", ConfigPush.serializer(), ConfigPushResponse.serializer())
    val FETCH = PeerMethod("catalog.Fetch", ConfigFetch.serializer(), ConfigFetchResponse.serializer())
    val PROBE = PeerMethod("catalog.Probe", FreshnessProbe.serializer(), FreshnessResponse.serializer())
}
