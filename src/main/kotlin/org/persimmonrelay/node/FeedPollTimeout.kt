package org.persimmonrelay.node

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long a poll for changes of a table waits. Of the nodes that tell each other what they have read, the first whose
 * poll ends notices when the connections of all have gone silent; polls may therefore be longer the more nodes there
 * are. [peers] is the number of other nodes heard, [keyBound] the time after which unconfirmed keys are refused.
 */
internal fun feedPollTimeout(peers: Int, keyBound: Duration?, random: Random): Duration {
    val longest = (TIMEOUT_PER_NODE * (peers + 1)).coerceIn(SHORTEST, LONGEST)
    val bounded = keyBound?.let { minOf(longest, it * KEY_BOUND_SHARE) } ?: longest
    return bounded * random.nextDouble(MIN_JITTER_FACTOR, 1.0)
}

private val TIMEOUT_PER_NODE = 500.milliseconds
private val SHORTEST = 1_500.milliseconds
private val LONGEST = 20.seconds
private const val MIN_JITTER_FACTOR = 0.6

/** Leaves time for a failed poll and another one before keys are refused. */
private const val KEY_BOUND_SHARE = 0.3
