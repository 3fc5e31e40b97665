package org.persimmonrelay.forward

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.http.CallerExchange
import org.persimmonrelay.http.CallerHandler
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.time.Duration.Companion.milliseconds

/** Admits and forwards each caller's request until it has one final response. Confined to the traffic thread. */
internal class Forwarder(
    private val dependencies: ForwardDependencies,
    private val admission: RequestAdmission,
    private val attemptDependencies: AttemptDependencies,
    private val rejecting: () -> Boolean,
) : CallerHandler {
    private val clock = dependencies.clock

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
            val completed = withTimeoutOrNull(remaining) { execution.execute() }
            if (completed == null) execution.timedOut()
        } catch (e: CancellationException) {
            if (!execution.isDelivered) dependencies.log.callerDisconnected(request, execution.trace, clock.now())
            throw e
        }
    }

    private fun draining() = Refusal.NotRun(
        NotRunReason.NODE_LEAVING,
        "This node is stopping; another takes the request.",
        DRAINING_RETRY_AFTER,
    )

    private companion object {
        val DRAINING_RETRY_AFTER = 100.milliseconds
    }
}
