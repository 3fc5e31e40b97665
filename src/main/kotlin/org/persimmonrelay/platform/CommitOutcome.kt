package org.persimmonrelay.platform

import kotlin.time.Duration

/** Outcome of a transaction committed through [ReliableTable]. */
public sealed interface CommitOutcome {
    /** All writes took effect, exactly once. */
    public data object Committed : CommitOutcome

    /** A condition failed; the transaction will never take effect. [current] has the rows that conflict with it. */
    public data class Conflict(val current: List<Row>) : CommitOutcome

    /** Nothing was sent, so the transaction did not take effect. Try again after [retryAfter]. */
    public data class NotSent(val message: String, val retryAfter: Duration) : CommitOutcome

    /** The transaction may have taken effect or may still do so: read the rows and compare the operation id. */
    public data class Unknown(val message: String) : CommitOutcome
}
