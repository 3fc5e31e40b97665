package org.persimmonrelay.timeline

import kotlinx.serialization.Serializable

/**
 * A reading of a hybrid logical clock: close to wall-clock time, and never before anything that caused it.
 *
 * @property wallMillis milliseconds since the Unix epoch, on the fastest clock heard of.
 * @property counter orders readings within one millisecond.
 */
@Serializable
public data class HybridTimestamp(val wallMillis: Long, val counter: Int) : Comparable<HybridTimestamp> {
    override fun compareTo(other: HybridTimestamp): Int =
        compareValuesBy(this, other, HybridTimestamp::wallMillis, HybridTimestamp::counter)

    /** Short text form, read by [parse]. */
    public fun encode(): String = "${wallMillis.toString(RADIX)}.${counter.toString(RADIX)}"

    public companion object {
        private const val RADIX = 36

        /** Reads what [encode] wrote; null when [text] is something else. */
        public fun parse(text: String): HybridTimestamp? {
            val wall = text.substringBefore('.').toLongOrNull(RADIX) ?: return null
            val counter = text.substringAfter('.', "").toIntOrNull(RADIX) ?: return null
            return HybridTimestamp(wall, counter)
        }
    }
}
