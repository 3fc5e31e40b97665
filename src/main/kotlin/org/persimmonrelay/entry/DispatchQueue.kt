/*
 * Runs the dispatcher of a deployment. Dispatchers are plain state machines; the queue serialises the events passed to
 * one, runs its timer, and suspends requests until they are placed, without blocking a thread.
 */
package org.persimmonrelay.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.fairness.ShareSummary
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.routing.AttemptEnd
import org.persimmonrelay.routing.DispatchAction
import org.persimmonrelay.routing.DispatchEvent
import org.persimmonrelay.routing.Dispatcher
import org.persimmonrelay.routing.EnginePlacement
import kotlin.time.Duration.Companion.seconds

private typealias PlacementResult = Either<Refusal, EnginePlacement>

/** Serialises calls to [dispatcher]. Thread-safe; the dispatcher's timer runs in [scope]. */
public class DispatchQueue(
    private val dispatcher: Dispatcher,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val lock = Any()
    private val waiting = HashMap<RequestId, CompletableDeferred<PlacementResult>>()
    private var timer: Job? = null
    private var wakeTime: Moment? = null
    private var running = 0
    private var servers: List<BackendServerConfig> = emptyList()
    private val avoidUntil = HashMap<ServerId, Moment>()

    @Volatile
    private var addresses: Map<ServerId, EngineAddress> = emptyMap()

    /** Number of requests that wait to be placed on an engine. */
    public val waitingRequests: Int get() = synchronized(lock) { waiting.size }

    /** True when no request is waiting or running. */
    public val isIdle: Boolean get() = synchronized(lock) { waiting.isEmpty() && running == 0 }

    /**
     * Suspends until the dispatcher places the request of [arrival], refuses it, or abandons it after failed attempts.
     * Cancelling withdraws the request.
     */
    public suspend fun place(arrival: DispatchEvent.Arrived): Either<Refusal, EnginePlacement> {
        val request = arrival.request
        val result = CompletableDeferred<PlacementResult>()
        synchronized(lock) { waiting[request.id] = result }
        return try {
            handle(arrival)
            result.await()
        } catch (e: CancellationException) {
            withdraw(request.id, result)
            throw e
        } finally {
            synchronized(lock) { waiting.remove(request.id, result) }
        }
    }

    /** The address of [server], even if the server has been removed from the deployment; null if it never was in it. */
    public fun address(server: ServerId): EngineAddress? = addresses[server]

    public fun recordProgress(id: RequestId, outputTokens: Int, cachedTokens: Int): Unit =
        handle(DispatchEvent.Progressed(id, outputTokens, cachedTokens))

    /** Must be called exactly once for each placement that [place] returned. */
    public fun recordEnd(id: RequestId, server: ServerId, end: AttemptEnd): Unit = synchronized(lock) {
        running--
        handle(DispatchEvent.Ended(id, server, end))
    }

    public fun updateLoad(report: EngineLoadReport) {
        if (report.server in addresses) handle(DispatchEvent.Reported(report))
    }

    public fun serversChanged(current: List<BackendServerConfig>): Unit = synchronized(lock) {
        addresses = addresses + current.associate { ServerId(it.name) to EngineAddress(it.address) }
        servers = current
        publishServers()
    }

    /** Excludes [server], which refused a connection, from new work for a while, unless no other server is usable. */
    public fun markUnreachable(server: ServerId): Unit = synchronized(lock) {
        avoidUntil[server] = clock.now() + UNREACHABLE_PERIOD
        publishServers()
        scope.launch {
            delay(UNREACHABLE_PERIOD)
            synchronized(lock) { publishServers() }
        }
    }

    private fun publishServers() {
        val now = clock.now()
        avoidUntil.values.removeIf { it <= now }
        val marked = servers.map { if (ServerId(it.name) in avoidUntil) it.copy(drain = true) else it }
        handle(DispatchEvent.ServersChanged(if (marked.all { it.drain }) servers else marked))
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    /** Merges a peer's summary of its workspaces' usage of this deployment. */
    public fun mergePeerUsage(summary: ShareSummary): Unit = handle(DispatchEvent.PeerConsumed(summary))

    /** Reads from the dispatcher while no event is being handled. */
    internal fun <T> query(read: (Dispatcher) -> T): T = synchronized(lock) { read(dispatcher) }

    private fun withdraw(id: RequestId, result: CompletableDeferred<PlacementResult>) {
        val waited = synchronized(lock) { waiting.remove(id, result) }
        if (waited) return handle(DispatchEvent.Withdrawn(id))
        result.getCompleted().onRight { recordEnd(id, it.decode, AttemptEnd.CANCELLED) }
    }

    private fun handle(event: DispatchEvent): Unit = synchronized(lock) {
        dispatcher.on(event, clock.now()).forEach(::perform)
    }

    private fun perform(action: DispatchAction) {
        when (action) {
            is DispatchAction.Start -> start(action)
            is DispatchAction.Refuse -> waiting.remove(action.id)?.complete(action.refusal.left())
            is DispatchAction.Abandon -> waiting.remove(action.id)?.complete(action.refusal.left())
            is DispatchAction.WakeAt -> scheduleWake(action.moment)
        }
    }

    private fun start(action: DispatchAction.Start) {
        val result = waiting.remove(action.id) ?: return
        running++
        result.complete(action.placement.right())
    }

    private fun scheduleWake(moment: Moment) {
        val current = wakeTime
        if (current != null && current <= moment) return
        timer?.cancel()
        wakeTime = moment
        timer =
            scope.launch {
                delay(moment - clock.now())
                synchronized(lock) { wakeTime = null }
                handle(DispatchEvent.Woken)
            }
    }

    private companion object {
        val UNREACHABLE_PERIOD = 2.seconds
    }
}
