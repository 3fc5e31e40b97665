package org.persimmonrelay.platform

import arrow.core.Either

/** The rate-limited store of model weights, of which the system sees the limit only. */
public fun interface WeightStore {
    /** Loads that may begin per minute over the whole fleet. */
    public suspend fun loadsPerMinute(): Either<StoreUnavailable, Int>
}
