package org.persimmonrelay.forward

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.backend.Placement
import org.persimmonrelay.backend.ServerInstance
import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/**
 * Runs the attempts of one request until the caller has its final response. Confined to the traffic thread.
 *
 * An attempt whose response is overdue is hedged: it goes on, and another server is asked too. The first attempt with a
 * part for the caller goes on alone. So a slow but sound server keeps the request when no other takes it.
 */
internal class RequestExecution(
    private val dependencies: ForwardDependencies,
    attemptDependencies: AttemptDependencies,
    private val request: ForwardedRequest,
) : AttemptCoordinator {
    val trace = AttemptTrace()
    private val clock = dependencies.clock
    private val ending = RequestEnding(dependencies, request, trace)
    private val history = AttemptHistory()
    private val failures = ServerFailureReports(dependencies.requestGuard, request)
    private val placement = RequestPlacement(dependencies, attemptDependencies.requestLimits, request, ::usedServers)
    private val runner =
        AttemptRunner(dependencies, attemptDependencies, request, placement, history, failures, trace, this)

    /** The attempts whose end was not handled yet, in the order of their start. */
    private val running = ArrayList<RunningAttempt>()
    private val hedgePacing = HedgePacing()

    /** True once a server's whole response was sent to the caller. */
    var isDelivered = false
        private set

    suspend fun execute() = coroutineScope {
        while (running.isNotEmpty() || startNext()) {
            val ended = awaitEnd(timeToHedge(clock.now()))
            when {
                ended == null -> hedge(clock.now())
                hasEndedRequest(ended) -> break
            }
        }
    }

    /** Starts an attempt while none is under way; false when there can be none, and the request has ended. */
    private fun CoroutineScope.startNext(): Boolean {
        val quarantined = dependencies.requestGuard.quarantined(request.profile)
        if (quarantined != null) {
            ending.quarantined(quarantined, history.lastFailure, history.mayHaveRun)
            return false
        }
        val now = clock.now()
        val chosen = placement.choose(now)
        if (chosen is Placement.Refused || history.sends > 0 && !tryAcquireRetry(now)) {
            ending.failed(history.lastFailure, history.mayHaveRun, chosen as? Placement.Refused)
            return false
        }
        start(chosen)
        return true
    }

    private fun CoroutineScope.start(chosen: Placement) {
        val attempt = RunningAttempt()
        running += attempt
        // Undispatched, so that the deadline of the attempt is known at once.
        attempt.outcome = async(start = CoroutineStart.UNDISPATCHED) {
            when (chosen) {
                is Placement.Chosen -> runner.run(attempt, chosen)
                is Placement.Split -> runner.split(attempt, chosen)
                is Placement.Refused -> error("A request without a server is not started.")
            }
        }
    }

    private fun tryAcquireRetry(now: Moment) = dependencies.retryBudget.tryAcquire(request.profile.service, now)

    /** The attempt that ended; null when none did within [timeout]. */
    private suspend fun awaitEnd(timeout: Duration?): RunningAttempt? = running.firstOrNull { it.outcome.isCompleted }
        ?: if (timeout == null) nextEnd() else withTimeoutOrNull(timeout) { nextEnd() }

    private suspend fun nextEnd(): RunningAttempt =
        select { running.forEach { attempt -> attempt.outcome.onJoin { attempt } } }

    /** True if the end of [attempt] is the end of the request. */
    private suspend fun hasEndedRequest(attempt: RunningAttempt): Boolean {
        if (!running.remove(attempt)) return false
        val outcome = attempt.outcome.await()
        if (outcome is AttemptOutcome.Delivered) return true
        if (running.isNotEmpty() || mayRetry(outcome)) return false
        ending.failed(history.lastFailure, history.mayHaveRun, refused = null)
        return true
    }

    /** How long after [now] to ask another server too; null while the newest attempt has no deadline. */
    private fun timeToHedge(now: Moment): Duration? {
        val due = running.last().nextPart.dueAt(now) ?: return null
        return (maxOf(due, hedgePacing.nextAt) - now).coerceAtLeast(Duration.ZERO)
    }

    /** Asks another server too if the newest attempt is overdue and one can be had. */
    private fun CoroutineScope.hedge(now: Moment) {
        val newest = running.last()
        val due = newest.nextPart.dueAt(now)
        if (due == null || due > now) return
        hedgePacing.tried(now)
        if (!mayRunBeside(underWay())) return
        markOverdue(newest, now)
        if (!mayHedge() || dependencies.requestGuard.quarantined(request.profile) != null) return
        val chosen = placement.choose(now)
        if (chosen is Placement.Refused || !tryAcquireRetry(now)) return
        hedgePacing.started()
        start(chosen)
    }

    private fun markOverdue(attempt: RunningAttempt, now: Moment) {
        val call = attempt.call
        if (call == null || call.isOverdue) return
        call.isOverdue = true
        call.inFlight.overdue(now)
        call.trace.overdue(now)
        dependencies.log.attemptOverdue(request, call, now)
        failures.overdue(call)
    }

    private fun mayHedge(): Boolean =
        maySendAgain() && !isResponseCommitted() && dependencies.requestGuard.mayRetry(request.profile)

    /** The attempts that have not ended; what the others did is in [history]. */
    private fun underWay() = running.filter { it.isUnderWay }

    private fun maySendAgain() = history.sends + underWay().size < MAX_SENDS && usedServers().size < MAX_TRIED_SERVERS

    /** True if one more attempt may run the request beside [others] under way, after those that have ended. */
    private fun mayRunBeside(others: List<RunningAttempt>): Boolean {
        val runs = history.runs + others.count { it.mayRun }
        return runs == 0 || request.route.isRetryable && runs < request.route.maxAttempts
    }

    private fun mayRetry(outcome: AttemptOutcome): Boolean = when (outcome) {
        is AttemptOutcome.Delivered, is AttemptOutcome.Prefilled -> false
        is AttemptOutcome.NotRun -> maySendAgain() && mayRunBeside(underWay())
        is AttemptOutcome.Failed ->
            mayRunBeside(underWay()) &&
                !isResponseCommitted() &&
                (!outcome.serverMayHaveEnded || dependencies.requestGuard.mayRetry(request.profile))
    }

    /**
     * True when part of a response without events was sent, so that the request can't be retried. A stream can be
     * resumed after its last event.
     */
    private fun isResponseCommitted() = request.exchange.isResponseStarted && runner.progress.forwardedEvents == 0

    private fun usedServers(): Set<ServerInstance> {
        val present = running.mapNotNull { it.call?.server?.instance }
        return if (present.isEmpty()) history.triedServers else history.triedServers + present
    }

    override fun partArrived(attempt: RunningAttempt) {
        if (running.size == 1) return
        running.filter { it !== attempt }.forEach { it.replace() }
        running.retainAll { it === attempt }
    }

    override fun delivered(status: Int) {
        isDelivered = true
        ending.delivered(status, runner.progress.forwardedEvents)
    }

    override suspend fun awaitRunPermit(attempt: RunningAttempt): Boolean {
        while (true) {
            val others = running.filter { it !== attempt && it.isUnderWay }
            if (mayRunBeside(others)) return true
            // Suspends: to wait for an attempt that has ended would block the thread that handles its end.
            val other = others.firstOrNull { it.mayRun } ?: return false
            other.outcome.join()
        }
    }

    /** The deadline passed, or the route's timeout. */
    fun timedOut() {
        if (!isDelivered) ending.timedOut(history.mayHaveRun)
    }

    /** The node stops before the request has its response. */
    fun nodeStopped() {
        if (!isDelivered) ending.nodeStopped(history.mayHaveRun)
    }

    private companion object {
        const val MAX_SENDS = 3
        const val MAX_TRIED_SERVERS = 6
    }
}
