/*
 * Calls that must not run twice, such as bookings and charges. A claim row is committed before the call, and the
 * outcome is recorded in the same row. A repeat under the same key does not run again: it gets the recorded response,
 * a refusal because the first call still runs, or "outcome unknown". Only a call that has certainly not run frees its
 * key for another attempt.
 */
package org.persimmonrelay.once

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.outcome.Refusal

/** Runs a call at most once per workspace and idempotency key, across all nodes. Thread-safe. */
public interface IdempotencyManager {
    /**
     * Stores [claim] and then runs [call], unless the key was claimed before.
     *
     * [call] continues when the caller of this function is cancelled, since its outcome has to be recorded.
     */
    public suspend fun run(claim: IdempotencyClaim, call: suspend () -> CallOutcome): IdempotentResult
}

/** Identifies a call: the caller's [workspace] and idempotency [key], and a digest of the request. */
public data class IdempotencyClaim(val workspace: WorkspaceId, val key: String, val bodyDigest: String)

/** A header of a recorded response. */
@Serializable
public data class RecordedHeader(val name: String, val value: String)

/** The HTTP response of a plain service. [body] is base64. */
@Serializable
public data class RecordedResponse(val status: Int, val headers: List<RecordedHeader>, val body: String)

/** Outcome of a call to a plain service. */
public sealed interface CallOutcome {
    /** The service sent a complete response. */
    public data class Answered(val response: RecordedResponse) : CallOutcome

    /** No byte of the request was sent, so the call has certainly not run. */
    public data class NotSent(val message: String) : CallOutcome

    /** Bytes of the request were sent and no complete response was received. */
    public data class Unknown(val message: String) : CallOutcome
}

/** Result of [IdempotencyManager.run]. */
public sealed interface IdempotentResult {
    /** The call ran now and got [response]. */
    public data class Executed(val response: RecordedResponse) : IdempotentResult

    /** The call ran earlier; [response] is the recorded one. */
    public data class Replayed(val response: RecordedResponse) : IdempotentResult

    /** The call was not run or its outcome is unknown; [refusal] says which. */
    public data class Refused(val refusal: Refusal) : IdempotentResult
}
