package org.persimmonrelay.platform

import arrow.core.Either
import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** A row of a table that others write; [value] is null in a change that removed it. */
public class FeedRow(public val key: String, public val value: ByteArray?)

/** Rows and the version of the store that they are up to date with. The call was sent at [sentAt]. */
public class FeedResponse(public val rows: List<FeedRow>, public val version: Long, public val sentAt: Moment)

/** Why a feed gave nothing. */
public sealed interface FeedFailure {
    /** The store has forgotten the changes in question; read the table anew. */
    public data object HistoryLost : FeedFailure

    /** No answer, or one that can't be used. */
    public data class Unavailable(val message: String) : FeedFailure
}

/** Tables of the store that others write and this node follows. */
public interface RowFeed {
    /** All rows of [table] at one moment. */
    public suspend fun snapshot(table: FeedTable): Either<FeedFailure, FeedResponse>

    /** What changed in [table] since [version]; waits up to [wait] for a change. */
    public suspend fun changes(table: FeedTable, version: Long, wait: Duration): Either<FeedFailure, FeedResponse>
}

/** Tables that nodes follow. */
public enum class FeedTable { CONFIGURATION, BACKEND_SERVERS }
