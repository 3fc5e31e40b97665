package org.persimmonrelay.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.OrderAnswer
import org.persimmonrelay.platform.ServerOrder
import org.persimmonrelay.platform.ServerOrders
import org.persimmonrelay.platform.StoreUnavailable
import kotlin.time.Duration

/**
 * An in-memory order interface. A repeated operation id gets the same result as the first time, also when it was
 * declined. [decide] returns the result of a new order.
 */
public class StandInServerOrders(
    public val faults: Faults = Faults(),
    private val decide: (ServerOrder) -> OrderAnswer = { OrderAnswer.Accepted },
) : ServerOrders {
    private val results = mutableMapOf<OperationId, OrderAnswer>()
    private val acceptedOrders = mutableListOf<ServerOrder>()

    /** Accepted orders, each operation once, in the order of arrival. */
    public val accepted: List<ServerOrder>
        get() = synchronized(results) { acceptedOrders.toList() }

    override suspend fun send(order: ServerOrder): Either<StoreUnavailable, OrderAnswer> {
        if (faults.delay > Duration.ZERO) delay(faults.delay)
        if (faults.down) return StoreUnavailable("The order interface is down; try again later.").left()
        val result = synchronized(results) { results.getOrPut(order.operation) { execute(order) } }
        if (faults.takeLostResponse()) return StoreUnavailable("The answer was lost; repeat the order.").left()
        return result.right()
    }

    private fun execute(order: ServerOrder): OrderAnswer {
        val result = decide(order)
        if (result is OrderAnswer.Accepted) acceptedOrders += order
        return result
    }
}
