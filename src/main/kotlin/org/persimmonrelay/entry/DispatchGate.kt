/*
 * The owner of a deployment's dispatcher. Dispatchers are plain state machines; the gate serialises the
 * events to one, keeps its timer, and lets requests wait without a thread.
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

private typealias Placing = Either<Refusal, EnginePlacement>

/** Serialises one [dispatcher]. Thread-safe; its timer runs in [scope]. */
public class DispatchGate(
    private val dispatcher: Dispatcher,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val lock = Any()
    private val waiting = HashMap<RequestId, CompletableDeferred<Placing>>()
    private var timer: Job? = null
    private var wakeAt: Moment? = null
    private var running = 0
    private var listed: List<BackendServerConfig> = emptyList()
    private val heldUntil = HashMap<ServerId, Moment>()

    @Volatile
    private var addresses: Map<ServerId, EngineAddress> = emptyMap()

    /** Requests that wait for a place. */
    public val waitingRequests: Int get() = synchronized(lock) { waiting.size }

    /** True when no request waits or runs. */
    public val isIdle: Boolean get() = synchronized(lock) { waiting.isEmpty() && running == 0 }

    /**
     * Waits until the dispatcher places or refuses the request of [arrival], or gives up on it. Cancelling
     * withdraws it.
     */
    public suspend fun place(arrival: DispatchEvent.Arrived): Either<Refusal, EnginePlacement> {
        val request = arrival.request
        val answer = CompletableDeferred<Placing>()
        synchronized(lock) { waiting[request.id] = answer }
        return try {
            on(arrival)
            answer.await()
        } catch (e: CancellationException) {
            withdraw(request.id, answer)
            throw e
        } finally {
            synchronized(lock) { waiting.remove(request.id, answer) }
        }
    }

    /** The address of [server], also when it was just removed from the deployment. */
    public fun address(server: ServerId): EngineAddress? = addresses[server]

    public fun progressed(id: RequestId, outputTokens: Int, cachedTokens: Int): Unit =
        on(DispatchEvent.Progressed(id, outputTokens, cachedTokens))

    /** To be called once for each placement given out. */
    public fun ended(id: RequestId, server: ServerId, end: AttemptEnd): Unit = synchronized(lock) {
        running--
        on(DispatchEvent.Ended(id, server, end))
    }

    public fun reported(report: EngineLoadReport) {
        if (report.server in addresses) on(DispatchEvent.Reported(report))
    }

    public fun serversChanged(servers: List<BackendServerConfig>): Unit = synchronized(lock) {
        addresses = addresses + servers.associate { ServerId(it.name) to EngineAddress(it.address) }
        listed = servers
        publishServers()
    }

    /** No connection to [server] could be made: it gets no new work for a while, unless no other stands. */
    public fun unreachable(server: ServerId): Unit = synchronized(lock) {
        heldUntil[server] = clock.now() + UNREACHABLE_HOLD
        publishServers()
        scope.launch {
            delay(UNREACHABLE_HOLD)
            synchronized(lock) { publishServers() }
        }
    }

    private fun publishServers() {
        val now = clock.now()
        heldUntil.values.removeIf { it <= now }
        val held = listed.map { if (ServerId(it.name) in heldUntil) it.copy(drain = true) else it }
        on(DispatchEvent.ServersChanged(if (held.all { it.drain }) listed else held))
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    /** A peer told what its workspaces used of this deployment. */
    public fun consumed(summary: ShareSummary): Unit = on(DispatchEvent.PeerConsumed(summary))

    /** Asks the dispatcher something between two events. */
    internal fun <T> ask(question: (Dispatcher) -> T): T = synchronized(lock) { question(dispatcher) }

    private fun withdraw(id: RequestId, answer: CompletableDeferred<Placing>) {
        val waited = synchronized(lock) { waiting.remove(id, answer) }
        if (waited) return on(DispatchEvent.Withdrawn(id))
        answer.getCompleted().onRight { ended(id, it.decode, AttemptEnd.CANCELLED) }
    }

    private fun on(event: DispatchEvent): Unit = synchronized(lock) {
        dispatcher.on(event, clock.now()).forEach(::carryOut)
    }

    private fun carryOut(action: DispatchAction) {
        when (action) {
            is DispatchAction.Start -> start(action)
            is DispatchAction.Refuse -> waiting.remove(action.id)?.complete(action.refusal.left())
            is DispatchAction.Abandon -> waiting.remove(action.id)?.complete(action.refusal.left())
            is DispatchAction.WakeAt -> schedule(action.moment)
        }
    }

    private fun start(action: DispatchAction.Start) {
        val answer = waiting.remove(action.id) ?: return
        running++
        answer.complete(action.placement.right())
    }

    private fun schedule(moment: Moment) {
        val current = wakeAt
        if (current != null && current <= moment) return
        timer?.cancel()
        wakeAt = moment
        timer =
            scope.launch {
                delay(moment - clock.now())
                synchronized(lock) { wakeAt = null }
                on(DispatchEvent.Woken)
            }
    }

    private companion object {
        val UNREACHABLE_HOLD = 2.seconds
    }
}
