package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.Placement
import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** Decides for an attempt of a request what depends on its other attempts. Confined to the traffic thread. */
internal interface AttemptCoordinator {
    /** [attempt] has a part of the response for the caller: it goes on alone. */
    fun partArrived(attempt: RunningAttempt)

    /** The whole response with [status] was sent to the caller. */
    fun delivered(status: Int)

    /** Waits until [attempt] may have the request run; false if it never may. */
    suspend fun awaitRunPermit(attempt: RunningAttempt): Boolean
}

/** Runs the attempts of one request. Confined to the traffic thread. */
internal class AttemptRunner(
    private val dependencies: ForwardDependencies,
    private val attemptDependencies: AttemptDependencies,
    private val request: ForwardedRequest,
    private val placement: RequestPlacement,
    private val history: AttemptHistory,
    private val failures: ServerFailureReports,
    private val trace: AttemptTrace,
    private val coordinator: AttemptCoordinator,
) {
    private val clock = dependencies.clock
    private val timeouts = AttemptTimeouts(attemptDependencies.settings)

    /** What the caller has received of a stream, over all attempts. */
    val progress = StreamProgress(request.attributes.lastEventId)

    /** Runs [attempt] where [chosen] tells. */
    suspend fun run(attempt: RunningAttempt, chosen: Placement.Chosen): AttemptOutcome =
        call(attempt, chosen, ServerTask.Run)

    /**
     * Prefills the prompt at one server and decodes at another. Tried once; later attempts run both at one server.
     */
    suspend fun split(attempt: RunningAttempt, split: Placement.Split): AttemptOutcome {
        placement.splitNoMore()
        val prefill = call(attempt, split.prefill, ServerTask.Prefill)
        if (prefill !is AttemptOutcome.Prefilled) return AttemptOutcome.NotRun("not-prefilled", reachedServer = true)
        attempt.nextPart.expectNext(clock.now())
        val prefillServer = split.prefill.server
        try {
            return decode(attempt, prefillServer, prefill.handle)
        } finally {
            if (!hasDecoded(attempt)) dependencies.releaseHandle(prefillServer, prefill.handle)
        }
    }

    private suspend fun decode(
        attempt: RunningAttempt,
        prefillServer: BackendServer,
        handle: KvHandle,
    ): AttemptOutcome {
        if (!coordinator.awaitRunPermit(attempt)) return AttemptOutcome.NotRun("no-run-left", reachedServer = false)
        if (dependencies.requestGuard.quarantined(request.profile) != null) {
            return AttemptOutcome.NotRun("quarantined", reachedServer = false)
        }
        val chosen = placement.chooseDecode(prefillServer, clock.now())
        if (chosen !is Placement.Chosen) return AttemptOutcome.NotRun("no-decode-server", reachedServer = false)
        return call(attempt, chosen, ServerTask.Decode(handle), prefillServer)
    }

    private fun hasDecoded(attempt: RunningAttempt): Boolean {
        val call = attempt.call ?: return false
        return call.task is ServerTask.Decode && call.inFlight.respondedAt != null
    }

    private suspend fun call(
        attempt: RunningAttempt,
        chosen: Placement.Chosen,
        task: ServerTask,
        prefillServer: BackendServer? = null,
    ): AttemptOutcome {
        val now = clock.now()
        attemptDependencies.requestLimits.sent(chosen.server, clock.wallMillis())
        val inFlight = dependencies.chooser.sent(chosen, request.profile, request.engine, now, prefillServer)
        val call = ServerCall(chosen, task, inFlight, trace.attemptStarted(chosen, now))
        attempt.call = call
        val deadline = attempt.nextPart
        deadline.startCall(timeout(chosen, task, now), now)
        val serverAttempt =
            ServerAttempt(attemptDependencies, request, chosen, task, progress, deadline, listener(attempt))
        var outcome: AttemptOutcome? = null
        try {
            return serverAttempt.run(inFlight).also {
                outcome = it
                ended(call, it)
            }
        } finally {
            if (outcome == null && serverAttempt.wasSent) cancelled(attempt, call)
            inFlight.abandoned()
            val isNotRun = outcome is AttemptOutcome.NotRun || task is ServerTask.Prefill
            if (serverAttempt.wasSent && !isNotRun) history.mayHaveRun = true
        }
    }

    private fun ended(call: ServerCall, outcome: AttemptOutcome) {
        val now = clock.now()
        call.trace.ended(outcome.label, now)
        dependencies.log.attemptEnded(request, call, outcome, now)
        history.ended(call.server, call.task, outcome)
        failures.ended(call, outcome)
        if (outcome is AttemptOutcome.Delivered) coordinator.delivered(outcome.status)
    }

    /** The caller left, the deadline passed or another attempt goes on with the request. */
    private fun cancelled(attempt: RunningAttempt, call: ServerCall) {
        val now = clock.now()
        if (attempt.isReplaced) {
            call.trace.ended("replaced", now)
            dependencies.log.attemptReplaced(request, call, now)
            history.replaced(call.server, call.task)
        } else if (!call.isOverdue) {
            failures.cancelled(call, now)
        }
    }

    /** How long to wait for a part of the response until it is overdue; null when no other server may ever be asked. */
    private fun timeout(chosen: Placement.Chosen, task: ServerTask, now: Moment): Duration? {
        val mayRunTwice = request.route.isRetryable && request.route.maxAttempts > 1
        if (!mayRunTwice && task !is ServerTask.Prefill) return null
        val lateness = dependencies.chooser.usualLateness(request.profile.service, now)
        return timeouts.timeout(chosen.expected, request.route.latencyTarget, lateness, request.deadline - now)
    }

    private fun listener(attempt: RunningAttempt) = object : ResponseListener {
        override fun responseStarted() = this@AttemptRunner.responseStarted()

        override fun partArrived() = coordinator.partArrived(attempt)
    }

    private fun responseStarted() {
        val now = clock.now()
        if (trace.responseStartedAt != null) return
        trace.responseStartedAt = now
        dependencies.log.firstPart(request, now)
        request.workspace?.let {
            dependencies.usage.record(
                it.id,
                request.profile.promptTokens.toLong(),
                request.profile.outputTokens.toLong(),
            )
        }
    }
}
