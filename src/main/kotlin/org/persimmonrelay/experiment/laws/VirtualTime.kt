package org.persimmonrelay.experiment.laws

import org.persimmonrelay.clock.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/** A queue of events that happen one after the other in virtual time; single-threaded and deterministic. */
internal class VirtualTime {
    private val queue = PriorityQueue<Scheduled>()
    private var sequence = 0L

    /** The present virtual time since the start. */
    var now: Moment = Moment.ZERO
        private set

    /** Lets [action] happen after [delay], after everything that was scheduled earlier for the same moment. */
    fun after(delay: Duration, action: () -> Unit) {
        queue += Scheduled(now + delay, sequence++, action)
    }

    /** Lets everything happen that is due until [end]; calls [afterEach] after every event. */
    fun runUntil(end: Moment, afterEach: () -> Unit = {}) {
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val next = queue.poll()
            now = next.at
            next.action()
            afterEach()
        }
        now = end
    }

    private class Scheduled(val at: Moment, val sequence: Long, val action: () -> Unit) : Comparable<Scheduled> {
        override fun compareTo(other: Scheduled): Int = compareValuesBy(this, other, { it.at.nanos }, { it.sequence })
    }
}
