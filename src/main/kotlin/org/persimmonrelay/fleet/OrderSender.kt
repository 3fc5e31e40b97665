package org.persimmonrelay.fleet

/** Result of sending an order. */
internal sealed interface SendResult {
    /** The receiver accepted the order and has not completed it. */
    data object InProgress : SendResult

    /** The receiver has carried out the order. */
    data object Done : SendResult

    /** The receiver will not carry out the order. */
    data class Declined(val message: String) : SendResult

    /** The receiver rejected the order, since it knows a newer epoch. */
    data object Fenced : SendResult

    /** No usable answer; the message may still arrive. */
    data object NoAnswer : SendResult
}

/** Sends orders to one kind of receiver, engines or the platform. */
internal interface OrderSender {
    /** The kind of receiver, as it stands in the intent's key. */
    val kind: String

    /** Sends [intent] under [epoch]; null when there was no answer. */
    suspend fun send(server: ManagedServer, intent: IntentRow, epoch: Long): SendResult?

    /** Queries, without sending an order, whether [intent] is done. */
    suspend fun isDone(server: ManagedServer, intent: IntentRow): Boolean

    /** True when the receiver was removed for good, so that no order can be in progress there. */
    suspend fun isGone(server: ManagedServer): Boolean
}
