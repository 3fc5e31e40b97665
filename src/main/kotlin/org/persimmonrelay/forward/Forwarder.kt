package org.persimmonrelay.forward

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.http.CallerExchange
import org.persimmonrelay.http.CallerHandler
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import kotlin.time.Duration.Companion.milliseconds

/** Takes each caller's request through its attempts to its one answer. Confined to the traffic thread. */
internal class Forwarder(
    private val parts: ForwardParts,
    private val gate: CallGate,
    private val tools: AttemptTools,
    private val refusing: () -> Boolean,
) : CallerHandler {
    private val clock = parts.clock

    override suspend fun handle(exchange: CallerExchange) {
        val now = clock.now()
        if (refusing()) return refuse(exchange, GateRefusal(parts.dialect.parseRequest(exchange.head)?.id, leaving()))
        gate.admit(exchange, now).fold({ refuse(exchange, it) }, { forward(it) })
    }

    private fun refuse(exchange: CallerExchange, refused: GateRefusal) {
        exchange.respond(parts.answers.notRun(refused.id, refused.refusal))
        parts.log.refusedAtGate(exchange, refused, clock.now())
    }

    private suspend fun forward(call: ForwardedCall) {
        parts.allowance.requestArrived(call.work.service, clock.now())
        val run = CallRun(parts, tools, call)
        try {
            val left = call.deadline - clock.now()
            val ended = withTimeoutOrNull(left) { run.untilAnswered() }
            if (ended == null) run.timedOut()
        } catch (e: CancellationException) {
            parts.log.callerLeft(call, run.trace, clock.now())
            throw e
        }
    }

    private fun leaving() = Refusal.NotRun(
        NotRunReason.NODE_LEAVING,
        "This node is stopping; another takes the request.",
        LEAVING_WAIT,
    )

    private companion object {
        val LEAVING_WAIT = 100.milliseconds
    }
}
