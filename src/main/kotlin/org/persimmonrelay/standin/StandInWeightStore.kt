package org.persimmonrelay.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.WeightStore
import kotlin.time.Duration

/** A weight store that allows [limit] model loads per minute and counts the loads that engines start. */
public class StandInWeightStore(@Volatile public var limit: Int, public val faults: Faults = Faults()) : WeightStore {
    /** Number of loads started, by minute. */
    private val loadsByMinute = mutableMapOf<Long, Int>()

    /** The largest number of loads that started in one minute. */
    public val maxLoadsPerMinute: Int
        get() = synchronized(loadsByMinute) { loadsByMinute.values.maxOrNull() ?: 0 }

    /** Records that an engine starts a load in [minute]. */
    public fun recordLoad(minute: Long) {
        synchronized(loadsByMinute) { loadsByMinute.merge(minute, 1, Int::plus) }
    }

    override suspend fun loadsPerMinute(): Either<StoreUnavailable, Int> {
        if (faults.delay > Duration.ZERO) delay(faults.delay)
        if (faults.down) return StoreUnavailable("The weight store is down; try again later.").left()
        return limit.right()
    }
}
