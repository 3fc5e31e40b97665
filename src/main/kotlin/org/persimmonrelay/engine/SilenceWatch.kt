package org.persimmonrelay.engine

import kotlinx.coroutines.delay
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** Notices that a stream went silent, with one timer per stream rather than one per piece. */
internal class SilenceWatch(private val clock: Clock, private val timeouts: EngineTimeouts) {
    @Volatile
    private var last: Moment = clock.now()

    @Volatile
    private var started = false

    /** Notes that something arrived. */
    fun progressed() {
        last = clock.now()
        started = true
    }

    /** Returns when nothing arrived for as long as the timeouts allow. */
    suspend fun awaitSilence() {
        while (true) {
            val left = left(clock.now())
            if (left <= Duration.ZERO) return
            // The bound shrinks with the first piece, so the longer one must not be slept through.
            delay(minOf(left, timeouts.progress))
        }
    }

    private fun left(now: Moment): Duration {
        val bound = if (started) timeouts.progress else timeouts.firstPiece
        return bound - (now - last)
    }
}
