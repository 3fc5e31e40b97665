package org.persimmonrelay.platform

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.ServerId

/**
 * Price class of a backend server. [CHEAP] servers are preemptible: the platform can remove all those of a failure
 * domain within seconds.
 */
@Serializable
public enum class PriceClass { ORDINARY, CHEAP }

/** An order to the platform to start or stop a backend server. Repeating an operation id has no further effect. */
@Serializable
public sealed interface ServerOrder {
    public val operation: OperationId
    public val domain: FailureDomain

    /** Epoch of the lease under which the order was decided. */
    public val epoch: Long

    /** Starts one server. */
    @Serializable
    public data class Start(
        override val operation: OperationId,
        override val domain: FailureDomain,
        override val epoch: Long,
        val server: ServerId,
        val price: PriceClass,
        val model: String,
    ) : ServerOrder

    /** Stops one server, which must have been drained before. */
    @Serializable
    public data class Stop(
        override val operation: OperationId,
        override val domain: FailureDomain,
        override val epoch: Long,
        val server: ServerId,
    ) : ServerOrder
}

/** The platform's response to an order. */
@Serializable
public sealed interface OrderAnswer {
    @Serializable
    public data object Accepted : OrderAnswer

    /** The platform does not carry out the order. [message] gives the reason, e.g. no cheap servers are available. */
    @Serializable
    public data class Declined(val message: String) : OrderAnswer
}

/** The platform's interface for starting and stopping backend servers. */
public fun interface ServerOrders {
    public suspend fun send(order: ServerOrder): Either<StoreUnavailable, OrderAnswer>
}
