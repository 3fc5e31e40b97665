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
public interface OnceManager {
    /**
     * Claims [claim] and then runs [call].
     *
     * [call] goes on when the caller of this function is cancelled, since its outcome has to be recorded.
     */
    public suspend fun run(claim: OnceClaim, call: suspend () -> CallEnd): OnceAnswer
}

/** What identifies a call: the caller's [workspace] and idempotency [key], and a digest of the request's body. */
public data class OnceClaim(val workspace: WorkspaceId, val key: String, val bodyDigest: String)

/** A header of a recorded answer. */
@Serializable
public data class RecordedHeader(val name: String, val value: String)

/** A plain service's whole answer. [body] is base64. */
@Serializable
public data class RecordedAnswer(val status: Int, val headers: List<RecordedHeader>, val body: String)

/** How the call to the plain service ended. */
public sealed interface CallEnd {
    /** The service answered. */
    public data class Answered(val answer: RecordedAnswer) : CallEnd

    /** No byte of the request left this node, so the call has certainly not run. */
    public data class NotSent(val message: String) : CallEnd

    /** Bytes left, and no whole answer came. */
    public data class Unknown(val message: String) : CallEnd
}

/** What the caller gets. */
public sealed interface OnceAnswer {
    /** The call ran now. */
    public data class Fresh(val answer: RecordedAnswer) : OnceAnswer

    /** The call ran earlier; this is its recorded answer. */
    public data class Replayed(val answer: RecordedAnswer) : OnceAnswer

    /** Not run, or outcome unknown. */
    public data class Refused(val refusal: Refusal) : OnceAnswer
}
