package org.persimmonrelay.catalog

import arrow.core.Either
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.outcome.Refusal

/** A valid key and its workspace, which is null for operators' keys. */
public data class VerifiedKey(val key: ApiKey, val workspace: Workspace?)

/** Decides whether a request may run with the key that it contains. Called for every request. */
public interface KeyVerifier {
    /** The valid key that [presented] is the secret of, or why the request is rejected. */
    public fun verify(presented: String, now: Moment): Either<Refusal.NotRun, VerifiedKey>
}
