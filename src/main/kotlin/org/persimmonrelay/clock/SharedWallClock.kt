package org.persimmonrelay.clock

import kotlin.time.Duration.Companion.milliseconds

/**
 * A clock whose time of day all nodes share: a reading of the store's steady clock plus the difference to the
 * time of day that the nodes have agreed on. A set time of day on this host then changes nothing. Until both are
 * known the host's own time of day is used. Thread-safe.
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

    /** What this node would have the nodes agree on: the time of day at the store's zero; null before a reading. */
    public fun proposedOffset(): Long? = storeMillis()?.let { source.wallMillis() - it }

    /** The nodes have agreed on [offset] in milliseconds. */
    public fun setAgreedOffset(offset: Long) {
        agreedOffset = offset
    }

    /** The store's clock read [storeMillis] in the answer to a call sent at [sentAt]. */
    public fun recordStoreTime(storeMillis: Long, sentAt: Moment) {
        val now = source.now()
        if (now - sentAt > PROMPT) return
        reading = Reading(storeMillis, now)
    }

    private fun storeMillis(): Long? = reading?.let { it.storeMillis + (source.now() - it.at).inWholeMilliseconds }

    private companion object {
        /** Readings from slower calls are too vague. */
        val PROMPT = 100.milliseconds
    }
}
