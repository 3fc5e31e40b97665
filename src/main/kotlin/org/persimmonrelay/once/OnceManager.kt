/*
 * Calls that may not be repeated. A caller marks one by its `Idempotency-Key`; the first request under a
 * key is carried out, every later one gets the recorded answer or is refused.
 */
package org.persimmonrelay.once

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.outcome.Refusal

/** What a caller claims: one run of the request whose body has [bodyDigest] under [key] in [workspace]. */
public data class OnceClaim(val workspace: WorkspaceId, val key: String, val bodyDigest: String)

/** One header of a recorded answer. */
@Serializable
public data class RecordedHeader(val name: String, val value: String)

/** An answer as it is kept for repeats. [body] is in Base64. */
@Serializable
public data class RecordedAnswer(val status: Int, val headers: List<RecordedHeader>, val body: String)

/** How the call to the plain service ended. */
public sealed interface CallEnd {
    /** The service answered. */
    public data class Answered(val answer: RecordedAnswer) : CallEnd

    /** No byte of the request left this node. */
    public data class NotSent(val message: String) : CallEnd

    /** The request left and no whole answer came back. */
    public data class Unknown(val message: String) : CallEnd
}

/** What the caller gets. */
public sealed interface OnceAnswer {
    /** The call was carried out now. */
    public data class Fresh(val answer: RecordedAnswer) : OnceAnswer

    /** The call was carried out earlier; [answer] is the recorded one. */
    public data class Replayed(val answer: RecordedAnswer) : OnceAnswer

    /** No result; the refusal says whether the call may have run. */
    public data class Refused(val refusal: Refusal) : OnceAnswer
}

/** Runs each claimed call at most once over all nodes. Thread-safe. */
public interface OnceManager {
    public suspend fun run(claim: OnceClaim, call: suspend () -> CallEnd): OnceAnswer
}
