/*
 * The face of routing towards the entry: one dispatcher per deployment and node decides which waiting
 * request starts on which engine and when, and which is refused. Dispatchers are plain state machines:
 * the owner passes events and the present time and carries out the returned actions.
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

/** Where a request runs: [decode] differs from [prefill] when the KV cache is moved after the prompt. */
public data class EnginePlacement(val prefill: ServerId, val decode: ServerId)

/** How an attempt ended, as far as routing is concerned. */
public enum class AttemptEnd { DONE, CANCELLED, ENGINE_FAILED, ENGINE_REFUSED }

/** What a dispatcher is told. */
public sealed interface DispatchEvent {
    /**
     * A request arrived, or has to be placed again after a failed attempt.
     *
     * [attempt] counts the earlier attempts that may have run, 0 for none; [failedServer] is where the last one
     * failed. Only a request with no earlier attempt and no output is ever refused as not run.
     */
    public data class Arrived(
        val request: DispatchRequest,
        val outputSoFar: Int = 0,
        val attempt: Int = 0,
        val failedServer: ServerId? = null,
    ) : DispatchEvent

    /** The engine produced [outputTokens] so far, of a prompt of which [cachedTokens] were found in its cache. */
    public data class Progressed(val id: RequestId, val outputTokens: Int, val cachedTokens: Int) : DispatchEvent

    public data class Ended(val id: RequestId, val server: ServerId, val end: AttemptEnd) : DispatchEvent

    /** The caller went away or the key was withdrawn while the request waited. */
    public data class Withdrawn(val id: RequestId) : DispatchEvent

    public data class Reported(val report: EngineLoadReport) : DispatchEvent

    /** The servers that may serve this deployment now; those absent or draining get no new work. */
    public data class ServersChanged(val servers: List<BackendServerConfig>) : DispatchEvent

    /** A peer told what workspaces used of this deployment through it. */
    public data class PeerConsumed(val summary: ShareSummary) : DispatchEvent

    /** The moment asked for by [DispatchAction.WakeAt] has come. */
    public data object Woken : DispatchEvent
}

/** What the owner of a dispatcher has to do. */
public sealed interface DispatchAction {
    public data class Start(val id: RequestId, val placement: EnginePlacement) : DispatchAction

    public data class Refuse(val id: RequestId, val refusal: Refusal.NotRun) : DispatchAction

    /** No further attempt will be made for a request that may have run; the caller is told at once. */
    public data class Abandon(val id: RequestId, val refusal: Refusal.OutcomeUnknown) : DispatchAction

    public data class WakeAt(val moment: Moment) : DispatchAction
}

/** Decides for one deployment on one node. Not thread-safe; the owner serialises calls. */
public interface Dispatcher {
    public fun on(event: DispatchEvent, now: Moment): List<DispatchAction>

    /** The work asked of this node since the last call, refused requests included. */
    public fun takeDemand(): Demand = Demand.NONE

    /** What to tell the peers about consumption of [deployment]; null when this dispatcher doesn't share. */
    public fun summary(node: NodeId, incarnation: Incarnation, deployment: DeploymentId, now: Moment): ShareSummary? =
        null
}
