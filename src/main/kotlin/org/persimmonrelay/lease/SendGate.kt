package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/**
 * Tracks the messages that this process sends under the lease of one duty, by fencing token.
 *
 * A send is registered before the lease is checked and removed when its call has returned. A closed gate without
 * sends in flight therefore proves that nothing more is sent, even if the process was paused in between.
 * [messageLifetime] is the longest time for which a sent message can still arrive. Thread-safe.
 */
internal class SendGate(private val messageLifetime: Duration) {
    private var closedThrough = 0L
    private val inFlight = HashMap<Long, Int>()
    private val messagesExpireAt = HashMap<Long, Moment>()

    /** Registers a send under [token]; false when the gate is closed. After true the caller must call [endSend]. */
    @Synchronized
    fun beginSend(token: Long): Boolean {
        if (token <= closedThrough) return false
        inFlight.merge(token, 1, Int::plus)
        return true
    }

    /** Ends a send under [token]; the message or a copy of it may still arrive within [messageLifetime]. */
    @Synchronized
    fun endSend(token: Long, now: Moment) {
        inFlight.computeIfPresent(token) { _, count -> if (count > 1) count - 1 else null }
        messagesExpireAt[token] = now + messageLifetime
    }

    /** Closes the gate for all tokens up to [token]; true when none of their messages can still arrive. */
    @Synchronized
    fun close(token: Long, now: Moment): Boolean {
        closedThrough = maxOf(closedThrough, token)
        messagesExpireAt.entries.removeIf { now >= it.value }
        return inFlight.keys.none { it <= token } && messagesExpireAt.keys.none { it <= token }
    }
}
