package org.persimmonrelay.platform

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.ServerId

/** Price class of a backend server. Cheap ones can vanish a failure domain at a time within seconds. */
@Serializable
public enum class PriceClass { ORDINARY, CHEAP }

/** An order to the platform about backend servers of one failure domain. Repeating an operation id has no effect. */
@Serializable
public sealed interface ServerOrder {
    public val operation: OperationId
    public val domain: FailureDomain

    /** Epoch of the lease under which the order was decided. */
    public val epoch: Long

    /** Start one server. */
    @Serializable
    public data class Start(
        override val operation: OperationId,
        override val domain: FailureDomain,
        override val epoch: Long,
        val server: ServerId,
        val price: PriceClass,
        val model: String,
    ) : ServerOrder

    /** Stop one server, which must have been drained. */
    @Serializable
    public data class Stop(
        override val operation: OperationId,
        override val domain: FailureDomain,
        override val epoch: Long,
        val server: ServerId,
    ) : ServerOrder
}

/** The platform's answer to an order. */
@Serializable
public sealed interface OrderAnswer {
    @Serializable
    public data object Accepted : OrderAnswer

    /** The platform can't or won't: [message] says why, such as no cheap servers to be had. */
    @Serializable
    public data class Declined(val message: String) : OrderAnswer
}

/** The interface that orders backend servers. */
public fun interface ServerOrders {
    public suspend fun send(order: ServerOrder): Either<StoreUnavailable, OrderAnswer>
}
