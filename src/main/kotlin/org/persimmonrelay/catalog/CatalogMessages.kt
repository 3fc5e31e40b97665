/*
 * Messages between nodes about the configuration. Objects travel as the JSON that the table holds, so that there
 * is one encoding of them; everything around them is protobuf.
 */
package org.persimmonrelay.catalog

import kotlinx.serialization.Serializable
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.peer.PeerMethod

/** A change that [from] has just stored, as the JSON of a [Delta]. */
@Serializable
internal data class ConfigPush(val from: PeerAddress, val delta: String)

/** The receiver's version after a push. [started] is false when the receiver does not serve yet. */
@Serializable
internal data class ConfigPushAnswer(val version: Long, val started: Boolean)

/** Asks for what follows [after], or for one part of the snapshot of version [snapshot] when that is above 0. */
@Serializable
internal data class ConfigFetch(val after: Long, val snapshot: Long = 0, val part: Int = 0)

/** Deltas as JSON, or the place and one part of a snapshot; neither when there is nothing newer. */
@Serializable
internal data class ConfigFetchAnswer(
    val deltas: List<String> = emptyList(),
    val snapshot: Long = 0,
    val parts: Int = 0,
    val bytes: ByteArray = ByteArray(0),
)

/** Asks a peer how new its configuration is. */
@Serializable
internal data class FreshnessProbe(val version: Long)

/** A [FreshnessReport] on the wire; [heard] is packed by [HeardCodec], [storeAgeMillis] is below 0 for none. */
@Serializable
internal data class FreshnessAnswer(
    val from: String,
    val started: Boolean,
    val version: Long,
    val storeAgeMillis: Long,
    val heard: ByteArray,
)

/** The calls, by their names on the wire. */
internal object CatalogMethods {
    val PUSH = PeerMethod("catalog.Push", ConfigPush.serializer(), ConfigPushAnswer.serializer())
    val FETCH = PeerMethod("catalog.Fetch", ConfigFetch.serializer(), ConfigFetchAnswer.serializer())
    val PROBE = PeerMethod("catalog.Probe", FreshnessProbe.serializer(), FreshnessAnswer.serializer())
}
