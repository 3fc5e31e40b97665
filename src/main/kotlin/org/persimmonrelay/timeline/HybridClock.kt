package org.persimmonrelay.timeline

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A hybrid logical clock. Wall-clock time is an argument; a reading never goes back when that does.
 *
 * Thread-safe. A peer whose clock is more than [maxAhead] fast is not followed, so that one broken clock
 * can't drag all others along.
 */
public class HybridClock(private val maxAhead: Duration = DEFAULT_MAX_AHEAD) {
    private var last = HybridTimestamp(0, 0)

    /** The reading for an event that happens at [wallMillis]. */
    @Synchronized
    public fun tick(wallMillis: Long): HybridTimestamp {
        last =
            if (wallMillis > last.wallMillis) HybridTimestamp(wallMillis, 0) else last.copy(counter = last.counter + 1)
        return last
    }

    /** Takes note of a reading that came with a message; later readings of this clock are after it. */
    @Synchronized
    public fun observe(remote: HybridTimestamp, wallMillis: Long) {
        if (remote.wallMillis - wallMillis > maxAhead.inWholeMilliseconds) return
        if (remote > last) last = remote
    }

    private companion object {
        val DEFAULT_MAX_AHEAD = 60.seconds
    }
}
