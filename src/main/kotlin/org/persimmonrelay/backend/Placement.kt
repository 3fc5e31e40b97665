package org.persimmonrelay.backend

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** Where a request is sent. */
public sealed interface Placement {
    /**
     * Sent to [server], where the first part of the response is expected after [expected]. [prefillTokens] of the
     * prompt have to be prefilled there. If [fetch] is not null, the server first copies the start of the prompt's KV
     * cache from another engine. [learnedDelay] is the part of [expected] by which recent responses came later than the
     * known load explains.
     */
    public data class Chosen(
        val server: BackendServer,
        val expected: Duration,
        val prefillTokens: Int,
        val fetch: PromptCacheFetch? = null,
        val learnedDelay: Duration = Duration.ZERO,
    ) : Placement

    /** Prefill runs at [prefill]; the decode server is chosen after that. The first token is due after [expected]. */
    public data class Split(val prefill: Chosen, val expected: Duration) : Placement

    /** Not sent: no server could start in time. The caller may retry after [retryAfter]. */
    public data class Refused(val reason: RefusalReason, val retryAfter: Duration) : Placement
}

/** A copy of [tokens] of a prompt's KV cache from the engine [from], expected to take [duration]. */
public data class PromptCacheFetch(val from: BackendServer, val tokens: Int, val duration: Duration)

/** Why no server gets a request. */
public enum class RefusalReason {
    /** No server is known that may get it. */
    NO_SERVER,

    /** The servers that may get it have named limits, which are used up for now. */
    LIMITED,

    /** No server could start it before its deadline. */
    TOO_LATE,

    /** It would wait beyond its latency target while the load is above the capacity. */
    OVERLOAD,
}

/**
 * Input of a placement decision at [now] for [request]. The first part of the response must be expected within
 * [maxStartDelay]; servers in [excluded] are not used. [maySplit] allows prefill and decode on different servers.
 * Servers in [unavailable] may not get a request now, but may again later.
 * [pauseTarget] is the longest pause between two events of the request's stream that still counts as on time, and
 * [latencyTarget] the response time to aim for.
 */
public data class PlacementQuery(
    val request: RequestProfile,
    val maxStartDelay: Duration,
    val excluded: Set<ServerInstance>,
    val now: Moment,
    val maySplit: Boolean = true,
    val pauseTarget: Duration? = null,
    val latencyTarget: Duration = Duration.INFINITE,
    val unavailable: Set<ServerInstance> = emptySet(),
)
