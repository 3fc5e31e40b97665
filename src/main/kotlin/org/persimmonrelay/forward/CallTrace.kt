package org.persimmonrelay.forward

import org.persimmonrelay.backend.Placement
import org.persimmonrelay.clock.Moment

/** What happened to a request, for its line in the log. */
public class CallTrace {
    private val steps = StringBuilder()

    /** When a server first showed that it runs the request. */
    public var beganAt: Moment? = null
        internal set

    /** True unless the last attempt is known not to have run. */
    internal var lastMayHaveRun = false
        private set

    private var attemptAt = Moment.ZERO

    internal fun attempt(chosen: Placement.Chosen, now: Moment) {
        attemptAt = now
        lastMayHaveRun = true
        if (steps.isNotEmpty()) steps.append("; ")
        steps.append(chosen.server.instance.id).append(" expected ").append(chosen.expected.inWholeMilliseconds)
        steps.append(" unread ").append(chosen.prefillTokens)
    }

    internal fun ended(end: AttemptEnd, now: Moment) {
        lastMayHaveRun = end !is AttemptEnd.NotRun
        steps.append(" took ").append((now - attemptAt).inWholeMilliseconds).append(' ').append(end.label)
    }

    override fun toString(): String = steps.toString()
}
