package org.persimmonrelay.platform.http

import arrow.core.Either
import org.persimmonrelay.platform.OrderAnswer
import org.persimmonrelay.platform.ServerOrder
import org.persimmonrelay.platform.ServerOrders
import org.persimmonrelay.platform.StoreUnavailable

/** [ServerOrders] over HTTP at the URL [base]. */
public class HttpServerOrders(private val http: PlatformHttpClient, private val base: String) : ServerOrders {
    override suspend fun send(order: ServerOrder): Either<StoreUnavailable, OrderAnswer> =
        http.post(base, order, ServerOrder.serializer(), OrderAnswer.serializer())
}
