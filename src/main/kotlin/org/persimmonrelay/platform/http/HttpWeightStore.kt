package org.persimmonrelay.platform.http

import arrow.core.Either
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.WeightStore

/** [WeightStore] over HTTP at the URL [base]. */
public class HttpWeightStore(private val http: PlatformHttpClient, private val base: String) : WeightStore {
    override suspend fun loadsPerMinute(): Either<StoreUnavailable, Int> =
        http.get(base, WeightsMessage.serializer()).map { it.loadsPerMinute }
}
