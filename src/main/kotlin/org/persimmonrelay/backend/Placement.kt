package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** Where a request goes. */
public sealed interface Placement {
    /**
     * To [server], where the first part of the answer is expected after [expected]. The start of the prompt is copied
     * from another engine first where [fetch] says so.
     */
    public data class Chosen(
        val server: BackendServer,
        val expected: Duration,
        val prefillTokens: Int,
        val fetch: PromptFetch? = null,
    ) : Placement

    /** The prompt is read at [prefill] first; where the tokens are made is chosen after that. */
    public data class Split(val prefill: Chosen, val expected: Duration) : Placement

    /** Nowhere: no server could begin in time. It is worth asking again after [retryAfter]. */
    public data class Refused(val reason: RefusalReason, val retryAfter: Duration) : Placement
}

/** [tokens] of a prompt that the engine [from] keeps are copied, which is expected to take [takes]. */
public data class PromptFetch(val from: BackendServer, val tokens: Int, val takes: Duration)

/** Why no server gets a request. */
public enum class RefusalReason { NO_SERVER, TOO_LATE }

/**
 * What a choice is made for: [request], to begin before [latestStart], at none of [excluded], decided at [now].
 * [maySplit] allows to read its prompt at another server than the one that makes its tokens. [pauseTarget] is the
 * longest pause for which streams like it are on time.
 */
public data class PlacementQuery(
    val request: RequestProfile,
    val latestStart: Duration,
    val excluded: Set<ServerInstance>,
    val now: Moment,
    val maySplit: Boolean = true,
    val pauseTarget: Duration? = null,
)
