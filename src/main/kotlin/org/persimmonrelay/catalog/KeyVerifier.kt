package org.persimmonrelay.catalog

import arrow.core.Either
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.outcome.Refusal

/** A key that was accepted, with its workspace; an operator's key has none. */
public data class VerifiedKey(val key: ApiKey, val workspace: Workspace?)

/** Decides whether a presented key may be used now. Thread-safe and without waiting. */
public interface KeyVerifier {
    public fun verify(presented: String, now: Moment): Either<Refusal.NotRun, VerifiedKey>
}
