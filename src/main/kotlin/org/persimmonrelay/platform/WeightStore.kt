package org.persimmonrelay.platform

import arrow.core.Either

/** The platform's rate-limited store of model weights. This system reads only the rate limit. */
public fun interface WeightStore {
    /** Number of loads of model weights that the whole fleet may start per minute. */
    public suspend fun loadsPerMinute(): Either<StoreUnavailable, Int>
}
