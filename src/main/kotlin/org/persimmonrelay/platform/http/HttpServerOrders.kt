package org.persimmonrelay.platform.http

import arrow.core.Either
import org.persimmonrelay.platform.OrderAnswer
import org.persimmonrelay.platform.ServerOrder
import org.persimmonrelay.platform.ServerOrders
import org.persimmonrelay.platform.StoreUnavailable

/** The order interface at [base] over HTTP. */
public class HttpServerOrders(private val http: PlatformHttpClient, private val base: String) : ServerOrders {
    override suspend fun send(order: ServerOrder): Either<StoreUnavailable, OrderAnswer> =
        http.post(base, order, ServerOrder.serializer(), OrderAnswer.serializer())
}
