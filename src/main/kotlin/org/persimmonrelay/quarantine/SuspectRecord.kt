package org.persimmonrelay.quarantine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.ServerId

/**
 * The end, at [atMillis], of the run of a backend server that began at [startedAtMillis]; both in Unix time. [isRetry]
 * is true if the server got the request after another one had failed under it, so that the two did not end at one
 * moment.
 */
@Serializable
public data class ServerLoss(
    val server: ServerId,
    val startedAtMillis: Long,
    val atMillis: Long,
    val isRetry: Boolean = false,
) {
    /** True if [other] is the loss of the same run of the same server. */
    public fun isSameRun(other: ServerLoss): Boolean =
        server == other.server && startedAtMillis == other.startedAtMillis
}

/**
 * What nodes have observed of the [Suspect] with [id] and [position]. Times are in Unix milliseconds.
 *
 * [losses] are servers that ended as they began to run a request with it, after its last complete response at
 * [completeAtMillis], which is null when none is known. [refusedAtMillis] is when a request was last refused because of
 * it.
 */
@Serializable
public data class SuspectRecord(
    @SerialName("part") val id: String,
    val position: Int,
    val losses: List<ServerLoss> = emptyList(),
    val completeAtMillis: Long? = null,
    val refusedAtMillis: Long? = null,
) {
    /** True for all that a request asks for, false for a part of its prompt. */
    public val isContent: Boolean
        get() = position == Suspect.CONTENT_POSITION

    /** Time of the newest observation. */
    public val newestMillis: Long
        get() = maxOf(losses.maxOfOrNull { it.atMillis } ?: 0, completeAtMillis ?: 0, refusedAtMillis ?: 0)

    /** The observations of this record and of [other], a record of the same suspect. */
    public fun merge(other: SuspectRecord): SuspectRecord {
        val completeAt = newest(completeAtMillis, other.completeAtMillis)
        return SuspectRecord(
            id = id,
            position = minOf(position, other.position),
            losses = mergeLosses(losses + other.losses, completeAt),
            completeAtMillis = completeAt,
            refusedAtMillis = newest(refusedAtMillis, other.refusedAtMillis),
        )
    }

    /** A complete response proves that the suspect is harmless, so that losses before it had another cause. */
    private fun mergeLosses(all: List<ServerLoss>, completeAt: Long?): List<ServerLoss> = all
        .filter { completeAt == null || it.atMillis > completeAt }
        .groupBy { it.server to it.startedAtMillis }
        .map { (_, same) -> same.maxBy { it.atMillis }.copy(isRetry = same.any { it.isRetry }) }
        .sortedWith(ORDER)
        .takeLast(MAX_LOSSES)

    private fun newest(one: Long?, other: Long?): Long? = listOfNotNull(one, other).maxOrNull()

    private companion object {
        /** Bounds the record; more than servers end before all nodes know of a quarantine. */
        const val MAX_LOSSES = 12
        val ORDER = compareBy<ServerLoss>({ it.atMillis }, { it.server.value }, { it.startedAtMillis })
    }
}
