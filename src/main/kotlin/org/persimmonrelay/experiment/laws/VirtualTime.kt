package org.persimmonrelay.experiment.laws

import org.persimmonrelay.clock.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/** A queue of events that run one after the other in virtual time; single-threaded and deterministic. */
internal class VirtualTime {
    private val queue = PriorityQueue<Scheduled>()
    private var sequence = 0L

    /** The current virtual time since the start. */
    var now: Moment = Moment.ZERO
        private set

    /** Schedules [action] after [delay]. Actions for the same time run in the order in which they were scheduled. */
    fun after(delay: Duration, action: () -> Unit) {
        queue += Scheduled(now + delay, sequence++, action)
    }

    /** Runs all events due until [end], inclusive; calls [afterEach] after each. */
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
