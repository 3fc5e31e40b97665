package org.persimmonrelay.platform

import arrow.core.Either
import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** A row of a table that other systems write. In a list of changes, a null [value] means that the row was removed. */
public class FeedRow(public val key: String, public val value: ByteArray?)

/**
 * Rows as of store version [version]. [sentAt] is the time at which the request was sent, [newestChange] the store
 * version of the newest change among the rows.
 */
public class FeedResponse(
    public val rows: List<FeedRow>,
    public val version: StoreVersion,
    public val sentAt: Moment,
    public val newestChange: StoreVersion = StoreVersion.NONE,
)

/** Why a feed returned no rows. */
public sealed interface FeedFailure {
    /** The store no longer has the requested changes; the table must be read again in full. */
    public data object HistoryLost : FeedFailure

    /** No response, or one that can't be used. */
    public data class Unavailable(val message: String) : FeedFailure
}

/** Reads tables of the store that other systems write and this node follows. */
public interface RowFeed {
    /** All rows of [table], as of one version of the store. */
    public suspend fun snapshot(table: FeedTable): Either<FeedFailure, FeedResponse>

    /**
     * Rows of [table] that changed after [after]. Waits up to [wait] for a change; no rows means no change. When the
     * store was restored since [after], the response has a version of the restored store, and its rows may not be all.
     */
    public suspend fun changes(table: FeedTable, after: StoreVersion, wait: Duration): Either<FeedFailure, FeedResponse>

    /** Closes connections to the store that are not in use, because they may be dead. */
    public fun closeIdleConnections()
}

/** Tables that a node follows through a [RowFeed]; the nodes themselves write [QUARANTINE]. */
public enum class FeedTable { CONFIGURATION, BACKEND_SERVERS, QUARANTINE }
