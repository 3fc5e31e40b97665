package org.persimmonrelay.catalog

import arrow.core.Either
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.outcome.Refusal

/** A key that was found valid, and its workspace; operators' keys have none. */
public data class VerifiedKey(val key: ApiKey, val workspace: Workspace?)

/** Decides whether a request may run under the key that came with it. Called for every request. */
public interface KeyVerifier {
    /** The key behind [presented], or why the request is not run. */
    public fun verify(presented: String, now: Moment): Either<Refusal.NotRun, VerifiedKey>
}
