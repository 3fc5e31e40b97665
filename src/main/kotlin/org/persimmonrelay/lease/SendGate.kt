package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/**
 * Tracks the messages that this process sends under the lease of one duty, by epoch.
 *
 * A send is registered before the lease is checked and removed when its call has returned. A closed gate without
 * sends in flight therefore proves that nothing more is sent, even if the process was paused in between.
 * [messageLifetime] is the longest time for which a sent message can still arrive. Thread-safe.
 */
internal class SendGate(private val messageLifetime: Duration) {
    private var closedThrough = 0L
    private val inFlight = HashMap<Long, Int>()
    private val messagesExpireAt = HashMap<Long, Moment>()

    /** Registers a send under [epoch]; false when the gate is closed. After true the caller must call [endSend]. */
    @Synchronized
    fun beginSend(epoch: Long): Boolean {
        if (epoch <= closedThrough) return false
        inFlight.merge(epoch, 1, Int::plus)
        return true
    }

    /** Ends a send under [epoch]; the message or a copy of it may still arrive within [messageLifetime]. */
    @Synchronized
    fun endSend(epoch: Long, now: Moment) {
        inFlight.computeIfPresent(epoch) { _, count -> if (count > 1) count - 1 else null }
        messagesExpireAt[epoch] = now + messageLifetime
    }

    /** Closes the gate for all epochs up to [epoch]; true when none of their messages can still arrive. */
    @Synchronized
    fun close(epoch: Long, now: Moment): Boolean {
        closedThrough = maxOf(closedThrough, epoch)
        messagesExpireAt.entries.removeIf { now >= it.value }
        return inFlight.keys.none { it <= epoch } && messagesExpireAt.keys.none { it <= epoch }
    }
}
