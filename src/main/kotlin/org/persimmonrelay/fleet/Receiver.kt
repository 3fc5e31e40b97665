package org.persimmonrelay.fleet

/** What a receiver of orders says after one was sent to it. */
internal sealed interface Receipt {
    /** It took the order and has not finished. */
    data object UnderWay : Receipt

    /** It has done what was ordered. */
    data object Done : Receipt

    /** It will not do it. */
    data class Declined(val message: String) : Receipt

    /** It knows a newer holder. */
    data object Fenced : Receipt

    /** No answer; the message may still arrive. */
    data object Silent : Receipt
}

/** Carries one kind of order to its receiver. */
internal interface Receiver {
    /** Part of the intent's key. */
    val kind: String

    /** Sends [intent] under [epoch]. Null stands for a message without an answer. */
    suspend fun send(server: ManagedServer, intent: IntentRow, epoch: Long): Receipt?

    /** Asks, without an order, whether [intent] is done. */
    suspend fun isDone(server: ManagedServer, intent: IntentRow): Boolean

    /** True when the receiver is gone for good, so that nothing can be under way there. */
    suspend fun isGone(server: ManagedServer): Boolean
}
