/*
 * Calls that may not be repeated, such as bookings and charges. A claim row is committed before the call; the
 * outcome is recorded in the same row. A repeat under the same key never runs a second time: it gets the
 * recorded answer, a refusal that says the first one still runs, or "outcome unknown".
 */
package org.persimmonrelay.once

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.outcome.Refusal

/** Runs a call at most once per workspace and key, over all nodes. Thread-safe. */
public interface IdempotencyManager {
    /**
     * Claims [claim] and then runs [call].
     *
     * [call] goes on when the caller of this function is cancelled, since its outcome has to be recorded.
     */
    public suspend fun run(claim: IdempotencyClaim, call: suspend () -> CallOutcome): IdempotentResult
}

/** What identifies a call: the caller's [workspace] and idempotency [key], and a digest of the request's body. */
public data class IdempotencyClaim(val workspace: WorkspaceId, val key: String, val bodyDigest: String)

/** A header of a recorded answer. */
@Serializable
public data class RecordedHeader(val name: String, val value: String)

/** A plain service's whole answer. [body] is base64. */
@Serializable
public data class RecordedResponse(val status: Int, val headers: List<RecordedHeader>, val body: String)

/** How the call to the plain service ended. */
public sealed interface CallOutcome {
    /** The service answered. */
    public data class Answered(val response: RecordedResponse) : CallOutcome

    /** No byte of the request left this node, so the call has certainly not run. */
    public data class NotSent(val message: String) : CallOutcome

    /** Bytes left, and no whole answer came. */
    public data class Unknown(val message: String) : CallOutcome
}

/** What the caller gets. */
public sealed interface IdempotentResult {
    /** The call ran now. */
    public data class Executed(val response: RecordedResponse) : IdempotentResult

    /** The call ran earlier; this is its recorded answer. */
    public data class Replayed(val response: RecordedResponse) : IdempotentResult

    /** Not run, or outcome unknown. */
    public data class Refused(val refusal: Refusal) : IdempotentResult
}
