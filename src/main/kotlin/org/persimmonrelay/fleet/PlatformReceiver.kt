package org.persimmonrelay.fleet

import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.platform.OrderAnswer
import org.persimmonrelay.platform.ServerOrder
import org.persimmonrelay.platform.ServerOrders

/** Orders to the platform, which answers a repeated operation id as it did the first time. */
internal class PlatformReceiver(private val orders: ServerOrders, private val settings: OrderSettings) : Receiver {
    override val kind: String = "platform"

    override suspend fun send(server: ManagedServer, intent: IntentRow, epoch: Long): Receipt? {
        val sent = withTimeoutOrNull(settings.orderTimeout) { orders.send(order(server, intent, epoch)).getOrNull() }
        return when (sent) {
            null -> null
            is OrderAnswer.Accepted -> Receipt.Done
            is OrderAnswer.Declined -> Receipt.Declined(sent.message)
        }
    }

    override suspend fun isDone(server: ManagedServer, intent: IntentRow): Boolean = false

    override suspend fun isGone(server: ManagedServer): Boolean = false

    private fun order(server: ManagedServer, intent: IntentRow, epoch: Long): ServerOrder =
        when (val change = intent.change) {
            is ServerChange.Start ->
                ServerOrder.Start(intent.operation, server.domain, epoch, server.id, change.price, change.model)
            is ServerChange.Stop -> ServerOrder.Stop(intent.operation, server.domain, epoch, server.id)
            is ServerChange.Engine -> error("Engines' orders do not go to the platform.")
        }
}
