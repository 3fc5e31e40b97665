package org.persimmonrelay.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.WeightStore
import kotlin.time.Duration

/** A weight store that allows [limit] loads a minute and counts those that engines begin. */
public class StandInWeightStore(@Volatile public var limit: Int, public val faults: Faults = Faults()) : WeightStore {
    /** Loads begun, by minute since the start. */
    private val begun = mutableMapOf<Long, Int>()

    /** The most loads that began in one minute. */
    public val busiestMinute: Int
        get() = synchronized(begun) { begun.values.maxOrNull() ?: 0 }

    /** Counts a load that an engine begins in [minute]. */
    public fun begin(minute: Long) {
        synchronized(begun) { begun.merge(minute, 1, Int::plus) }
    }

    override suspend fun loadsPerMinute(): Either<StoreUnavailable, Int> {
        if (faults.delay > Duration.ZERO) delay(faults.delay)
        if (faults.down) return StoreUnavailable("The weight store is down; try again later.").left()
        return limit.right()
    }
}
