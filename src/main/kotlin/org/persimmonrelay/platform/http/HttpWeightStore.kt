package org.persimmonrelay.platform.http

import arrow.core.Either
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.WeightStore

/** The weight store's limit at [base] over HTTP. */
public class HttpWeightStore(private val http: PlatformHttpClient, private val base: String) : WeightStore {
    override suspend fun loadsPerMinute(): Either<StoreUnavailable, Int> =
        http.get(base, WeightsMessage.serializer()).map { it.loadsPerMinute }
}
