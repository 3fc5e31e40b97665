package org.persimmonrelay.timeline

import kotlinx.serialization.Serializable

/**
 * A timestamp of a hybrid logical clock: close to wall-clock time and greater than the timestamps of its causes.
 *
 * @property wallMillis milliseconds since the Unix epoch, by the fastest clock observed.
 * @property counter orders timestamps within one millisecond.
 */
@Serializable
public data class HybridTimestamp(val wallMillis: Long, val counter: Int) : Comparable<HybridTimestamp> {
    override fun compareTo(other: HybridTimestamp): Int =
        compareValuesBy(this, other, HybridTimestamp::wallMillis, HybridTimestamp::counter)

    /** Compact text form, decoded by [parse]. */
    public fun encode(): String = "${wallMillis.toString(RADIX)}.${counter.toString(RADIX)}"

    public companion object {
        private const val RADIX = 36

        /** Decodes the output of [encode]; null if [text] is invalid. */
        public fun parse(text: String): HybridTimestamp? {
            val wall = text.substringBefore('.').toLongOrNull(RADIX) ?: return null
            val counter = text.substringAfter('.', "").toIntOrNull(RADIX) ?: return null
            return HybridTimestamp(wall, counter)
        }
    }
}
