package org.persimmonrelay.catalog

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.time.Duration.Companion.seconds

/**
 * Verifies keys against the current view. A malformed or withdrawn key is always rejected as invalid. Other keys, known
 * or not, are rejected with [NotRunReason.KEY_STATE_UNKNOWN] while key states are not recent enough.
 */
public class DefaultKeyVerifier(
    private val state: CatalogState,
    private val digester: KeyDigester,
    private val keyFreshness: KeyFreshnessTracker,
) : KeyVerifier {
    override fun verify(presented: String, now: Moment): Either<Refusal.NotRun, VerifiedKey> = either {
        ensure(KeyFactory.isWellFormed(presented)) { INVALID }
        val view = state.current
        val key = view.keyByDigest(digester.digest(presented))
        ensure(key == null || !key.withdrawn) { INVALID }
        ensure(keyFreshness.isFresh(now)) { UNKNOWN }
        ensureNotNull(key) { INVALID }
        val workspace = key.workspace?.let { ensureNotNull(view.workspace(it)) { INVALID } }
        VerifiedKey(key, workspace)
    }

    private companion object {
        val INVALID = Refusal.NotRun(
            NotRunReason.INVALID_KEY,
            "The key is unknown or was withdrawn; use a valid one or ask the operators for a new one.",
        )
        val UNKNOWN = Refusal.NotRun(
            NotRunReason.KEY_STATE_UNKNOWN,
            "This node can't confirm now that the key is still valid; repeat the request after the given time.",
            2.seconds,
        )
    }
}
