/*
 * Interface of routing to the entry. One dispatcher per deployment and node decides which waiting request starts
 * on which engine and when, and which requests are refused. Dispatchers are state machines: the owner passes events
 * with the current time and carries out the returned actions.
 */
package org.persimmonrelay.routing

import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.catalog.Limit
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.fairness.ShareSummary
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.outcome.Refusal

/** A request that waits for an engine. Token counts are estimates; [prefixBlocks] are hashes of the prompt's blocks. */
public data class DispatchRequest(
    val id: RequestId,
    val workspace: WorkspaceId,
    val weight: Int,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val prefixBlocks: LongArray,
    val priority: Int,
    val firstTokenBy: Moment,
    val limits: List<Limit> = emptyList(),
) {
    override fun equals(other: Any?): Boolean = other is DispatchRequest && other.id == id

    override fun hashCode(): Int = id.hashCode()
}

/** The engines of a request. If [decode] differs from [prefill], the KV cache is transferred after the prefill. */
public data class EnginePlacement(val prefill: ServerId, val decode: ServerId)

/** How an attempt ended, as far as routing is concerned. */
public enum class AttemptEnd { DONE, CANCELLED, ENGINE_FAILED, ENGINE_REFUSED }

/** Input of a dispatcher. */
public sealed interface DispatchEvent {
    /**
     * A request arrived, or has to be placed again after a failed attempt.
     *
     * [attempt] is the number of earlier attempts that may have run; the last one failed on [failedServer]. Only a
     * request with no earlier attempt and no output may be refused as not run.
     */
    public data class Arrived(
        val request: DispatchRequest,
        val outputSoFar: Int = 0,
        val attempt: Int = 0,
        val failedServer: ServerId? = null,
    ) : DispatchEvent

    /** The engine has produced [outputTokens] so far; [cachedTokens] of the prompt were in its cache. */
    public data class Progressed(val id: RequestId, val outputTokens: Int, val cachedTokens: Int) : DispatchEvent

    public data class Ended(val id: RequestId, val server: ServerId, val end: AttemptEnd) : DispatchEvent

    /** The caller disconnected or its key was withdrawn while the request waited. */
    public data class Withdrawn(val id: RequestId) : DispatchEvent

    public data class Reported(val report: EngineLoadReport) : DispatchEvent

    /** All servers of this deployment. Servers that are not in the list or that drain get no new requests. */
    public data class ServersChanged(val servers: List<BackendServerConfig>) : DispatchEvent

    /** A peer reported the consumption of this deployment by requests that it dispatched. */
    public data class PeerConsumed(val summary: ShareSummary) : DispatchEvent

    /** The time of the last [DispatchAction.WakeAt] was reached. */
    public data object Woken : DispatchEvent
}

/** An action that the owner of a dispatcher carries out. */
public sealed interface DispatchAction {
    public data class Start(val id: RequestId, val placement: EnginePlacement) : DispatchAction

    public data class Refuse(val id: RequestId, val refusal: Refusal.NotRun) : DispatchAction

    /** No further attempt is made for a request that may have run; the caller gets an error at once. */
    public data class Abandon(val id: RequestId, val refusal: Refusal.OutcomeUnknown) : DispatchAction

    public data class WakeAt(val moment: Moment) : DispatchAction
}

/** Dispatches the requests of one deployment on one node. Not thread-safe; the owner serialises calls. */
public interface Dispatcher {
    public fun on(event: DispatchEvent, now: Moment): List<DispatchAction>

    /** The demand on this node since the last call, refused requests included. */
    public fun takeDemand(): Demand = Demand.NONE

    /** The summary of the consumption of [deployment] to send to peers; null if this dispatcher has no fair sharing. */
    public fun summary(node: NodeId, incarnation: Incarnation, deployment: DeploymentId, now: Moment): ShareSummary? =
        null
}
