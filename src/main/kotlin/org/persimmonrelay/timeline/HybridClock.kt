package org.persimmonrelay.timeline

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A hybrid logical clock. The caller passes the wall-clock time; timestamps increase even if it goes backwards.
 *
 * Thread-safe. Timestamps of peers that are more than [maxAhead] ahead of the local wall clock are ignored, so that
 * one wrong clock can't advance all others.
 */
public class HybridClock(private val maxAhead: Duration = DEFAULT_MAX_AHEAD) {
    private var last = HybridTimestamp(0, 0)

    /** Returns the timestamp of an event that happens at [wallMillis]. */
    @Synchronized
    public fun tick(wallMillis: Long): HybridTimestamp {
        last =
            if (wallMillis > last.wallMillis) HybridTimestamp(wallMillis, 0) else last.copy(counter = last.counter + 1)
        return last
    }

    /** Merges the timestamp of a received message; later timestamps of this clock are greater than it. */
    @Synchronized
    public fun observe(remote: HybridTimestamp, wallMillis: Long) {
        if (remote.wallMillis - wallMillis > maxAhead.inWholeMilliseconds) return
        if (remote > last) last = remote
    }

    private companion object {
        val DEFAULT_MAX_AHEAD = 60.seconds
    }
}
