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
 * An in-memory order interface. Answers a repeated operation id as it did the first time, declined ones too.
 * [decide] says what becomes of a new order.
 */
public class StandInServerOrders(
    public val faults: Faults = Faults(),
    private val decide: (ServerOrder) -> OrderAnswer = { OrderAnswer.Accepted },
) : ServerOrders {
    private val answers = mutableMapOf<OperationId, OrderAnswer>()
    private val effective = mutableListOf<ServerOrder>()

    /** Orders that had an effect, each operation once, in their order. */
    public val accepted: List<ServerOrder>
        get() = synchronized(answers) { effective.toList() }

    override suspend fun send(order: ServerOrder): Either<StoreUnavailable, OrderAnswer> {
        if (faults.delay > Duration.ZERO) delay(faults.delay)
        if (faults.down) return StoreUnavailable("The order interface is down; try again later.").left()
        val answer = synchronized(answers) { answers.getOrPut(order.operation) { take(order) } }
        if (faults.takeLostAnswer()) return StoreUnavailable("The answer was lost; repeat the order.").left()
        return answer.right()
    }

    private fun take(order: ServerOrder): OrderAnswer {
        val answer = decide(order)
        if (answer is OrderAnswer.Accepted) effective += order
        return answer
    }
}
