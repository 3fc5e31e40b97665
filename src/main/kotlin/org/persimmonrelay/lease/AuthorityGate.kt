package org.persimmonrelay.lease

import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/**
 * The one door through which orders of a duty leave this process.
 *
 * A send enters before its authority is checked and leaves when its end is known, so that a step-down that finds
 * the door closed and nobody inside proves that no later send can follow, wherever the process was paused.
 * Thread-safe.
 */
internal class AuthorityGate(private val messageLifetime: Duration) {
    private var closedUpTo = 0L
    private val inside = HashMap<Long, Int>()
    private val quietFrom = HashMap<Long, Moment>()

    /** Lets a send under [epoch] in; the caller must leave again when this is true. */
    @Synchronized
    fun enter(epoch: Long): Boolean {
        if (epoch <= closedUpTo) return false
        inside.merge(epoch, 1, Int::plus)
        return true
    }

    /** Ends a send under [epoch]; the message or a copy of it may still arrive for its lifetime. */
    @Synchronized
    fun leave(epoch: Long, now: Moment) {
        inside.computeIfPresent(epoch) { _, count -> if (count > 1) count - 1 else null }
        quietFrom[epoch] = now + messageLifetime
    }

    /** Closes the door for [epoch] and all before; true when nothing of theirs can still arrive. */
    @Synchronized
    fun close(epoch: Long, now: Moment): Boolean {
        closedUpTo = maxOf(closedUpTo, epoch)
        quietFrom.entries.removeIf { now >= it.value }
        return inside.keys.none { it <= epoch } && quietFrom.keys.none { it <= epoch }
    }
}
