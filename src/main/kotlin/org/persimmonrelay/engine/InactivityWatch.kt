package org.persimmonrelay.engine

import kotlinx.coroutines.delay
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import kotlin.time.Duration

/** Detects that a stream has stopped sending data, with one timer per stream instead of one per chunk. */
internal class InactivityWatch(private val clock: Clock, private val timeouts: EngineTimeouts) {
    @Volatile
    private var lastProgress: Moment = clock.now()

    @Volatile
    private var started = false

    /** Records that data arrived. */
    fun recordProgress() {
        lastProgress = clock.now()
        started = true
    }

    /** Suspends until no data has arrived for the applicable timeout. */
    suspend fun awaitTimeout() {
        while (true) {
            val remaining = remaining(clock.now())
            if (remaining <= Duration.ZERO) return
            // The timeout changes to the shorter `progress` after the first chunk, so never sleep longer than that.
            delay(minOf(remaining, timeouts.progress))
        }
    }

    private fun remaining(now: Moment): Duration {
        val timeout = if (started) timeouts.progress else timeouts.firstChunk
        return timeout - (now - lastProgress)
    }
}
