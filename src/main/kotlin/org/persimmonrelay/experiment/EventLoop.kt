package org.persimmonrelay.experiment

import org.persimmonrelay.clock.Moment
import java.util.PriorityQueue
import kotlin.time.Duration.Companion.seconds

/** Event loop of a simulation in virtual time. Events of the same moment run in the order in which they were added. */
internal class EventLoop {
    private class Event(val at: Moment, val sequence: Long, val run: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.sequence })
    private var sequence = 0L

    var now: Moment = Moment.ZERO
        private set

    fun at(moment: Moment, run: () -> Unit) {
        events += Event(maxOf(moment, now), sequence++, run)
    }

    fun after(seconds: Double, run: () -> Unit): Unit = at(now + seconds.seconds, run)

    /** Runs [body] every [period] seconds until [end]. */
    fun every(period: Double, end: Moment, body: () -> Unit) {
        after(period) {
            body()
            if (now < end) every(period, end, body)
        }
    }

    /** Runs the events up to and including [end]; returns early when none are left. */
    fun runUntil(end: Moment) {
        while (true) {
            val next = events.peek() ?: return
            if (next.at > end) return
            events.poll()
            now = next.at
            next.run()
        }
    }
}

/** Seconds since the start of the run. */
internal val Moment.seconds: Double
    get() = nanos / NANOS_PER_SECOND

internal fun momentAt(seconds: Double): Moment = Moment.ZERO + seconds.seconds

private const val NANOS_PER_SECOND = 1e9
