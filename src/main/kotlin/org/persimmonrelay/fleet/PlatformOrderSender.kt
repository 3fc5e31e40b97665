package org.persimmonrelay.fleet

import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.platform.OrderAnswer
import org.persimmonrelay.platform.ServerOrder
import org.persimmonrelay.platform.ServerOrders

/** Sends orders to the platform, which gives a repeated operation id the same answer as the first time. */
internal class PlatformOrderSender(private val orders: ServerOrders, private val settings: OrderSettings) :
    OrderSender {
    override val kind: String = "platform"

    override suspend fun send(server: ManagedServer, intent: IntentRow, epoch: Long): SendResult? {
        val sent = withTimeoutOrNull(settings.orderTimeout) { orders.send(order(server, intent, epoch)).getOrNull() }
        return when (sent) {
            null -> null
            is OrderAnswer.Accepted -> SendResult.Done
            is OrderAnswer.Declined -> SendResult.Declined(sent.message)
        }
    }

    override suspend fun isDone(server: ManagedServer, intent: IntentRow): Boolean = false

    override suspend fun isGone(server: ManagedServer): Boolean = false

    private fun order(server: ManagedServer, intent: IntentRow, epoch: Long): ServerOrder =
        when (val change = intent.change) {
            is ServerChange.Start ->
                ServerOrder.Start(intent.operation, server.domain, epoch, server.id, change.price, change.model)
            is ServerChange.Stop -> ServerOrder.Stop(intent.operation, server.domain, epoch, server.id)
            is ServerChange.Engine -> error("An engine change can't be sent to the platform.")
        }
}
