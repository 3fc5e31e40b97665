package org.persimmonrelay.forward

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.job
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.http.CallerExchange
import org.persimmonrelay.http.CallerHandler
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The node stops and ends the requests under way. */
private class NodeStoppedException : CancellationException("The node stops.")

/** Admits and forwards each caller's request until it has one final response. Confined to the traffic thread. */
internal class Forwarder(
    private val dependencies: ForwardDependencies,
    private val admission: RequestAdmission,
    private val attemptDependencies: AttemptDependencies,
    private val rejecting: () -> Boolean,
) : CallerHandler {
    private val clock = dependencies.clock
    private val running = HashSet<Job>()

    /** Ends the requests under way, since the node stops; each gets its final response. */
    fun endAll() = running.toList().forEach { it.cancel(NodeStoppedException()) }

    override suspend fun handle(exchange: CallerExchange) {
        val now = clock.now()
        if (rejecting()) return refuse(exchange, Denied(dependencies.codec.parseRequest(exchange.head)?.id, draining()))
        admission.admit(exchange, now).fold({ refuse(exchange, it) }, { forward(it) })
    }

    private fun refuse(exchange: CallerExchange, refused: Denied) {
        exchange.respond(dependencies.errorResponses.notRun(refused.id, refused.refusal))
        dependencies.log.refusedAtAdmission(exchange, refused, clock.now())
    }

    private suspend fun forward(request: ForwardedRequest) {
        dependencies.retryBudget.requestArrived(request.profile.service, clock.now())
        val execution = RequestExecution(dependencies, attemptDependencies, request)
        try {
            val remaining = request.deadline - clock.now()
            val completed = withTimeoutOrNull(remaining) { track { execution.execute() } }
            if (completed == null) execution.timedOut()
        } catch (_: NodeStoppedException) {
            execution.nodeStopped()
        } catch (e: CancellationException) {
            if (!execution.isDelivered) dependencies.log.callerDisconnected(request, execution.trace, clock.now())
            throw e
        }
    }

    /** Runs [block] so that [endAll] ends it. */
    private suspend fun track(block: suspend () -> Unit) = coroutineScope {
        val job = coroutineContext.job
        running += job
        try {
            block()
        } finally {
            running -= job
        }
    }

    private fun draining() = Refusal.NotRun(
        NotRunReason.NODE_LEAVING,
        "This node is stopping; another takes the request.",
        DRAINING_RETRY_AFTER,
    )
}

/** How long callers wait before they ask another node than one that stops. */
internal val DRAINING_RETRY_AFTER: Duration = 100.milliseconds
