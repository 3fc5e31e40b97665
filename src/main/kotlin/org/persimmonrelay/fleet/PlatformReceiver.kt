package org.persimmonrelay.fleet

import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.platform.OrderAnswer
import org.persimmonrelay.platform.ServerOrder
import org.persimmonrelay.platform.ServerOrders

/** Orders to the platform, which answers a repeated operation id as it did the first time. */
internal class PlatformReceiver(private val orders: ServerOrders, private val settings: FleetSettings) : Receiver {
    override val kind: String = "platform"

    override suspend fun send(server: FleetServer, intent: IntentRow, epoch: Long): Receipt? {
        val sent = withTimeoutOrNull(settings.orderTimeout) { orders.send(order(server, intent, epoch)).getOrNull() }
        return when (sent) {
            null -> null
            is OrderAnswer.Accepted -> Receipt.Done
            is OrderAnswer.Declined -> Receipt.Declined(sent.message)
        }
    }

    override suspend fun isDone(server: FleetServer, intent: IntentRow): Boolean = false

    override suspend fun isGone(server: FleetServer): Boolean = false

    private fun order(server: FleetServer, intent: IntentRow, epoch: Long): ServerOrder =
        when (val change = intent.change) {
            is Change.Start ->
                ServerOrder.Start(intent.operation, server.domain, epoch, server.id, change.price, change.model)
            is Change.Stop -> ServerOrder.Stop(intent.operation, server.domain, epoch, server.id)
            is Change.Engine -> error("Engines' orders do not go to the platform.")
        }
}
