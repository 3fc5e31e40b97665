package org.persimmonrelay.forward

import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.clock.Moment
import kotlin.time.Duration.Companion.seconds

/** Tells [guard] under which attempts of [request] servers may have ended. Confined to the traffic thread. */
internal class ServerFailureReports(private val guard: RequestGuard, private val request: ForwardedRequest) {
    private var hasReported = false

    /** The [call] ended with [outcome]. */
    fun ended(call: ServerCall, outcome: AttemptOutcome) {
        when {
            outcome is AttemptOutcome.Delivered && outcome.isSuccess -> guard.responseCompleted(request.profile)
            outcome is AttemptOutcome.Failed && outcome.serverMayHaveEnded -> report(call.server, respondedAt(call))
        }
    }

    /** The next part of the response to [call] is overdue. */
    fun overdue(call: ServerCall) = report(call.server, respondedAt(call))

    /** The caller left, or the deadline passed, at [now]; a server that was silent for long may have ended. */
    fun cancelled(call: ServerCall, now: Moment) {
        if (respondedAt(call) != null || now - call.inFlight.sentAt < LONG_SILENCE) return
        report(call.server, respondedAt = null)
    }

    private fun respondedAt(call: ServerCall) = call.inFlight.respondedAt

    private fun report(server: BackendServer, respondedAt: Moment?) {
        guard.serverMayHaveEnded(server, request.profile, respondedAt, isRetry = hasReported)
        hasReported = true
    }

    private companion object {
        val LONG_SILENCE = 1.seconds
    }
}
