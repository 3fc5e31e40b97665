package org.persimmonrelay.forward

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/**
 * Tells when the next part of a response is due from its server. It only tells: a response that is overdue may still
 * come. Confined to the traffic thread.
 */
internal class PartDeadline {
    private var timeout: Duration? = null
    private var due: Moment? = null
    private var pausedAt: Moment? = null

    /** A call to a server starts at [now]; each part is due within [timeout], or at no time if that is null. */
    fun startCall(timeout: Duration?, now: Moment) {
        this.timeout = timeout
        expectNext(now)
    }

    /** The next part is due within the timeout of the call. */
    fun expectNext(now: Moment) {
        due = timeout?.let { now + it }
    }

    /** The next part is due within [other], if the call has a timeout. */
    fun expectNextWithin(other: Duration, now: Moment) {
        due = timeout?.let { now + other }
    }

    /** No part is due any more. */
    fun clear() {
        due = null
    }

    /** From [now] on the caller is waited for, not the server. */
    fun pause(now: Moment) {
        pausedAt = now
    }

    /** The server is waited for again from [now] on; the deadline moves by the length of the pause. */
    fun resume(now: Moment) {
        due = dueAt(now)
        pausedAt = null
    }

    /** When the next part is due, as far as is known at [now]; null when there is no deadline. */
    fun dueAt(now: Moment): Moment? {
        val paused = pausedAt?.let { now - it } ?: Duration.ZERO
        return due?.let { it + paused }
    }
}
