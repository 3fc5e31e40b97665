package org.persimmonrelay.forward

import org.persimmonrelay.backend.Placement
import org.persimmonrelay.backend.RefusalReason
import org.persimmonrelay.outcome.NotRunReason
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.quarantine.LossLedger
import org.persimmonrelay.quarantine.Suspect
import kotlin.time.Duration.Companion.milliseconds

/**
 * Ends a request: gives the caller its final response, unless a server's was delivered, and writes the log line. A
 * response that says that the request was not run is sent only if no server can have run it.
 */
internal class RequestEnding(
    private val dependencies: ForwardDependencies,
    private val request: ForwardedRequest,
    private val trace: AttemptTrace,
) {
    private val exchange = request.exchange
    private val clock = dependencies.clock

    /** A server's response with [status] was delivered, with [streamEvents] events. */
    fun delivered(status: Int, streamEvents: Int) =
        dependencies.log.completed(request, trace, status, streamEvents, clock.now())

    /** There is no further attempt after [lastFailure]; [refused] if no server could be chosen. */
    fun failed(lastFailure: AttemptOutcome.Failed?, mayHaveRun: Boolean, refused: Placement.Refused?) {
        val lastResponse = lastFailure?.response
        when {
            exchange.isResponseStarted -> cut("cut")
            lastResponse != null -> {
                exchange.respond(lastResponse)
                delivered(lastResponse.status, streamEvents = 0)
            }
            mayHaveRun -> outcomeUnknown(BAD_GATEWAY, "The backend server gave no whole answer.")
            else -> notRun(refused)
        }
    }

    /** No server may get the request because of [suspect]; [lastFailure] is of an earlier attempt. */
    fun quarantined(suspect: Suspect, lastFailure: AttemptOutcome.Failed?, mayHaveRun: Boolean) {
        if (mayHaveRun || exchange.isResponseStarted) return failed(lastFailure, mayHaveRun, refused = null)
        dependencies.requestGuard.refused(suspect)
        respondNotRun(if (suspect.isContent) contentQuarantined() else promptQuarantined(suspect))
    }

    private fun contentQuarantined() = Refusal.NotRun(
        NotRunReason.REQUEST_QUARANTINED,
        "Backend servers ended one after the other when they began to run this request; do not send it again.",
        QUARANTINE_RETRY_AFTER,
    )

    private fun promptQuarantined(part: Suspect) = Refusal.NotRun(
        NotRunReason.PROMPT_QUARANTINED,
        "Backend servers ended one after the other when they began to answer prompts with the part ${part.id}; " +
            "leave it out or ask the operators.",
        QUARANTINE_RETRY_AFTER,
    )

    /** The time for the request is up. */
    fun timedOut(mayHaveRun: Boolean) = when {
        exchange.isResponseStarted -> cut("timeout inside the answer")
        mayHaveRun -> outcomeUnknown(GATEWAY_TIMEOUT, "No answer came in time.")
        else -> notRun(refused = null)
    }

    /** The node stops. */
    fun nodeStopped(mayHaveRun: Boolean) = when {
        exchange.isResponseStarted -> cut("node stopped inside the answer")
        mayHaveRun -> outcomeUnknown(GATEWAY_TIMEOUT, "The node stopped before the answer came.")
        else -> respondNotRun(nodeLeaving())
    }

    private fun nodeLeaving() = Refusal.NotRun(
        NotRunReason.NODE_LEAVING,
        "This node is stopping; another takes the request.",
        DRAINING_RETRY_AFTER,
    )

    private fun cut(outcome: String) {
        exchange.abort()
        dependencies.log.failed(request, trace, outcome, clock.now())
    }

    private fun outcomeUnknown(status: Int, message: String) {
        val refusal = Refusal.OutcomeUnknown("$message Find out whether it ran before you repeat it.")
        exchange.respond(dependencies.errorResponses.outcomeUnknown(request.attributes.id, status, refusal))
        dependencies.log.failed(request, trace, "status $status", clock.now())
    }

    private fun notRun(refused: Placement.Refused?) {
        val reason =
            if (refused?.reason == RefusalReason.NO_SERVER) NotRunReason.NO_SERVER else NotRunReason.OVERLOADED
        val retryAfter = refused?.retryAfter ?: DEFAULT_RETRY_AFTER
        respondNotRun(Refusal.NotRun(reason, "No backend server can take the request in time.", retryAfter))
    }

    private fun respondNotRun(refusal: Refusal.NotRun) {
        exchange.respond(dependencies.errorResponses.notRun(request.attributes.id, refusal))
        dependencies.log.refused(request, trace, refusal, clock.now())
    }

    private companion object {
        val DEFAULT_RETRY_AFTER = 500.milliseconds

        /** As long as a quarantine lasts without further requests. */
        val QUARANTINE_RETRY_AFTER = LossLedger.RETENTION
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
    }
}
