package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.InFlightRequest
import org.persimmonrelay.backend.Placement
import org.persimmonrelay.backend.PlacementQuery
import org.persimmonrelay.backend.ServerInstance
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.route.RouteKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the attempts of one request until the caller has its final response. Confined to the traffic thread.
 *
 * `sends` counts attempts that reached a server, `runs` those in which the request may have run.
 */
internal class RequestExecution(
    private val dependencies: ForwardDependencies,
    private val attemptDependencies: AttemptDependencies,
    private val request: ForwardedRequest,
) {
    val trace = AttemptTrace()
    private val clock = dependencies.clock
    private val ending = RequestEnding(dependencies, request, trace)
    private val limits = attemptDependencies.requestLimits
    private val timeouts = AttemptTimeouts(attemptDependencies.settings)
    private val progress = StreamProgress(request.attributes.lastEventId)
    private val triedServers = HashSet<ServerInstance>()
    private var sends = 0
    private var runs = 0
    private var mayHaveRun = false
    private var mayHaveEndedServer = false
    private var maySplit = true
    private var lastFailure: AttemptOutcome.Failed? = null

    suspend fun execute() {
        while (true) {
            val outcome = nextAttempt() ?: return
            if (outcome is AttemptOutcome.Delivered) return ending.delivered(outcome.status, progress.forwardedEvents)
            if (!mayRetry(outcome)) return ending.failed(lastFailure, mayHaveRun, refused = null)
        }
    }

    /** The outcome of the next attempt; null when there can be none, and the request has ended. */
    private suspend fun nextAttempt(): AttemptOutcome? {
        val quarantined = dependencies.requestGuard.quarantined(request.profile)
        if (quarantined != null) {
            ending.quarantined(quarantined, lastFailure, mayHaveRun)
            return null
        }
        val now = clock.now()
        val placement = place(now)
        val isRefused = placement is Placement.Refused
        if (isRefused || sends > 0 && !dependencies.retryBudget.tryAcquire(request.profile.service, now)) {
            ending.failed(lastFailure, mayHaveRun, placement as? Placement.Refused)
            return null
        }
        return if (placement is Placement.Split) split(placement) else run(placement as Placement.Chosen)
    }

    private fun candidates() = dependencies.nearbyServers.of(dependencies.directory.view, request.profile.service)

    private fun query(now: Moment): PlacementQuery {
        val latest = (request.deadline - now) * LATEST_START_SHARE
        val pauseTarget = (request.route.kind as? RouteKind.Streaming)?.pauseTarget
        return PlacementQuery(
            request = request.profile,
            maxStartDelay = latest,
            excluded = triedServers,
            unavailable = limits.exhausted(candidates().all, clock.wallMillis()),
            now = now,
            maySplit = maySplit,
            pauseTarget = pauseTarget,
            latencyTarget = request.route.latencyTarget,
        )
    }

    private fun place(now: Moment): Placement = dependencies.chooser.choose(query(now), candidates(), request.engine)

    private suspend fun run(chosen: Placement.Chosen) = attempt(chosen, ServerTask.Run)

    /**
     * Prefills the prompt at one server and decodes at another. Tried once; later attempts run both at one server.
     */
    private suspend fun split(split: Placement.Split): AttemptOutcome {
        maySplit = false
        val prefill = attempt(split.prefill, ServerTask.Prefill)
        if (prefill !is AttemptOutcome.Prefilled) return AttemptOutcome.NotRun("not-prefilled", reachedServer = true)
        val prefillServer = split.prefill.server
        var handleUsed = false
        try {
            if (dependencies.requestGuard.quarantined(request.profile) != null) {
                return AttemptOutcome.NotRun("quarantined", reachedServer = false)
            }
            val decode =
                dependencies.chooser.chooseDecode(
                    query(clock.now()),
                    candidates(),
                    request.engine,
                    prefillServer,
                )
            if (decode !is Placement.Chosen) return AttemptOutcome.NotRun("no-decode-server", reachedServer = false)
            val outcome = attempt(decode, ServerTask.Decode(prefill.handle), prefillServer)
            handleUsed = outcome is AttemptOutcome.Delivered
            return outcome
        } finally {
            if (!handleUsed && progress.forwardedEvents == 0) dependencies.releaseHandle(prefillServer, prefill.handle)
        }
    }

    private suspend fun attempt(
        chosen: Placement.Chosen,
        task: ServerTask,
        prefillServer: BackendServer? = null,
    ): AttemptOutcome {
        val now = clock.now()
        limits.sent(chosen.server, clock.wallMillis())
        val inFlight = dependencies.chooser.sent(chosen, request.profile, request.engine, now, prefillServer)
        val attempt =
            ServerAttempt(
                attemptDependencies,
                request,
                chosen,
                progress,
                attemptTimeout(chosen, task),
                task,
                ::onResponseStarted,
            )
        trace.attemptStarted(chosen, clock.now())
        var isEnded = false
        try {
            val outcome = attempt.run(inFlight)
            isEnded = true
            trace.attemptEnded(outcome, clock.now())
            recordOutcome(chosen, task, outcome)
            recordForGuard(chosen.server, inFlight, outcome)
            return outcome
        } finally {
            if (!isEnded && attempt.wasSent) recordCancelled(chosen.server, inFlight, now)
            if (attempt.wasSent && trace.lastMayHaveRun && task !is ServerTask.Prefill) mayHaveRun = true
        }
    }

    private fun recordOutcome(chosen: Placement.Chosen, task: ServerTask, outcome: AttemptOutcome) {
        dependencies.log.attemptEnded(request, chosen, outcome, clock.now())
        if (outcome is AttemptOutcome.Prefilled) return
        triedServers += chosen.server.instance
        when (outcome) {
            is AttemptOutcome.Delivered -> runs++
            is AttemptOutcome.Failed -> {
                sends++
                if (task is ServerTask.Prefill) return
                runs++
                lastFailure = outcome
            }
            is AttemptOutcome.NotRun -> if (outcome.reachedServer) sends++
            is AttemptOutcome.Prefilled -> Unit
        }
    }

    private fun recordForGuard(server: BackendServer, inFlight: InFlightRequest, outcome: AttemptOutcome) {
        val guard = dependencies.requestGuard
        when {
            outcome is AttemptOutcome.Delivered && outcome.isSuccess -> guard.responseCompleted(request.profile)
            outcome is AttemptOutcome.Failed && outcome.serverMayHaveEnded ->
                serverMayHaveEnded(server, inFlight.respondedAt)
        }
    }

    private fun serverMayHaveEnded(server: BackendServer, respondedAt: Moment?) {
        dependencies.requestGuard.serverMayHaveEnded(server, request.profile, respondedAt, isRetry = mayHaveEndedServer)
        mayHaveEndedServer = true
    }

    /** The caller left or the deadline passed; a server that was silent for long may have ended. */
    private fun recordCancelled(server: BackendServer, inFlight: InFlightRequest, sentAt: Moment) {
        if (inFlight.respondedAt != null || clock.now() - sentAt < LONG_SILENCE) return
        serverMayHaveEnded(server, respondedAt = null)
    }

    private fun mayRetry(outcome: AttemptOutcome): Boolean = when (outcome) {
        is AttemptOutcome.Delivered, is AttemptOutcome.Prefilled -> false
        is AttemptOutcome.NotRun -> sends < MAX_SENDS && triedServers.size < MAX_TRIED_SERVERS
        is AttemptOutcome.Failed ->
            request.route.isRetryable &&
                runs < request.route.maxAttempts &&
                !isResponseCommitted() &&
                (!outcome.serverMayHaveEnded || dependencies.requestGuard.mayRetry(request.profile))
    }

    /**
     * True when part of a response that is not a stream was sent, so that the request can't be retried. A stream can be
     * resumed after its last event.
     */
    private fun isResponseCommitted() = request.exchange.isResponseStarted && request.route.kind !is RouteKind.Streaming

    private fun attemptTimeout(chosen: Placement.Chosen, task: ServerTask): Duration? {
        val hasMoreAttempts = request.route.isRetryable && runs + 1 < request.route.maxAttempts
        if (!hasMoreAttempts && task !is ServerTask.Prefill) return null
        val now = clock.now()
        val lateness = dependencies.chooser.usualLateness(request.profile.service, now)
        return timeouts.timeout(chosen.expected, request.route.latencyTarget, lateness, request.deadline - now)
    }

    private fun onResponseStarted() {
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

    /** The deadline passed, or the route's timeout. */
    fun timedOut() = ending.timedOut(mayHaveRun)

    private companion object {
        val LONG_SILENCE = 1.seconds
        const val MAX_SENDS = 3
        const val MAX_TRIED_SERVERS = 6

        /** Share of the remaining time within which a server has to start; later starts would miss the deadline. */
        const val LATEST_START_SHARE = 0.8
    }
}
