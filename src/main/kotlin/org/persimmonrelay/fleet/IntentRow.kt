/*
 * Every order is stored as an intent before it is sent, in a transaction that checks the lease. There is one row per
 * receiver (an engine, or the platform for one server), so that at most one order per receiver is outstanding; the
 * number grows with each new order. A new lease holder reads the outstanding order from the row and settles it, under
 * the same operation id, before its own first one.
 */
package org.persimmonrelay.fleet

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.ServerId

/**
 * The last order to one receiver. [epoch] is that of the lease under which it was decided. [settled] is true once the
 * outcome is known; [declined] is then the reason why it was not carried out, null when it was.
 */
@Serializable
internal data class IntentRow(
    val server: ServerId,
    val number: Long,
    val epoch: Long,
    val operation: OperationId,
    val change: ServerChange,
    val settled: Boolean = false,
    val declined: String? = null,
) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        fun decode(value: String): IntentRow = Json.decodeFromString(serializer(), value)

        /** The row's key. An engine and the platform, as receivers of orders about one server, differ in [kind]. */
        fun key(server: ManagedServer, kind: String): String = "intent/${server.domain}/$kind/${server.id}"

        /** The order's operation id, which is the same on every node that sends it. */
        fun operation(server: ServerId, number: Long, epoch: Long): OperationId =
            OperationId("order-$server-$number-$epoch")
    }
}

/** An intent as stored; null with version 0 when nothing was ordered before. */
internal data class StoredIntent(val key: String, val row: IntentRow?, val version: Long)
