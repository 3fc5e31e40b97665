package org.persimmonrelay.clock

import kotlin.time.Duration.Companion.milliseconds

/**
 * A clock whose wall-clock time is shared by all nodes: the store's monotonic clock plus an offset that the nodes
 * have agreed on. A change of this host's system time does not affect it. Until both the store's time and the offset
 * are known, this host's system time is used. Thread-safe.
 */
public class SharedWallClock(private val source: Clock) : Clock {
    @Volatile
    private var reading: Reading? = null

    @Volatile
    private var agreedOffset: Long? = null

    private class Reading(val storeMillis: Long, val at: Moment)

    override fun now(): Moment = source.now()

    override fun wallMillis(): Long {
        val offset = agreedOffset ?: return source.wallMillis()
        val store = storeMillis() ?: return source.wallMillis()
        return store + offset
    }

    /** Offset in milliseconds that this node proposes: system time minus store time. Null before the first reading. */
    public fun proposedOffset(): Long? = storeMillis()?.let { source.wallMillis() - it }

    /** Sets the [offset] in milliseconds that the nodes have agreed on. */
    public fun setAgreedOffset(offset: Long) {
        agreedOffset = offset
    }

    /** Records that the response to a call sent at [sentAt] gave [storeMillis] as the time of the store's clock. */
    public fun recordStoreTime(storeMillis: Long, sentAt: Moment) {
        val now = source.now()
        if (now - sentAt > MAX_CALL_TIME) return
        reading = Reading(storeMillis, now)
    }

    private fun storeMillis(): Long? = reading?.let { it.storeMillis + (source.now() - it.at).inWholeMilliseconds }

    private companion object {
        /** Readings from slower calls are ignored because their time is too inaccurate. */
        val MAX_CALL_TIME = 100.milliseconds
    }
}
