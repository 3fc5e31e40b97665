package org.persimmonrelay.platform

import kotlin.time.Duration

/** How a transaction sent through [ReliableTable] ended. */
public sealed interface CommitOutcome {
    /** All writes took effect, exactly once. */
    public data object Committed : CommitOutcome

    /** A condition did not hold, and the transaction will never take effect. [current] has the rows in its way. */
    public data class Conflict(val current: List<Row>) : CommitOutcome

    /** Nothing was sent; the transaction has certainly not taken effect. Try again after [retryAfter]. */
    public data class NotSent(val message: String, val retryAfter: Duration) : CommitOutcome

    /** It may have taken effect or may still do so: read the rows and compare the operation id. */
    public data class Unknown(val message: String) : CommitOutcome
}
