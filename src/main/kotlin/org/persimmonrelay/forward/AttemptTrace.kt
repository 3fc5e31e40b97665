package org.persimmonrelay.forward

import org.persimmonrelay.backend.Placement
import org.persimmonrelay.clock.Moment

/** Records the attempts of a request, in the order of their start, for its log line. */
public class AttemptTrace {
    private val attempts = ArrayList<TracedAttempt>()

    /** When a server first showed that it runs the request; null before. */
    public var responseStartedAt: Moment? = null
        internal set

    internal fun attemptStarted(chosen: Placement.Chosen, now: Moment): TracedAttempt =
        TracedAttempt(chosen, now).also { attempts += it }

    override fun toString(): String = attempts.joinToString("; ")
}

/** What the log line of a request tells of one attempt. */
internal class TracedAttempt(chosen: Placement.Chosen, private val startedAt: Moment) {
    private val text = StringBuilder()

    init {
        text.append(chosen.server.instance.id).append(" expected ").append(chosen.expected.inWholeMilliseconds)
        text.append(" to prefill ").append(chosen.prefillTokens)
    }

    /** The next part of the response is overdue at [now]; the attempt goes on. */
    fun overdue(now: Moment) {
        text.append(" overdue at ").append(millisAt(now))
    }

    /** The attempt ended at [now]; [label] says how. */
    fun ended(label: String, now: Moment) {
        text.append(" took ").append(millisAt(now)).append(' ').append(label)
    }

    private fun millisAt(now: Moment) = (now - startedAt).inWholeMilliseconds

    override fun toString(): String = text.toString()
}
