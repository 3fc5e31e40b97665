/*
 * Every order is first an intent: a row per receiver, written in a transaction that checks the lease. There is
 * one row per receiver, so that at most one order is outstanding; its number grows with each new order. A new
 * holder finds the outstanding order there and settles it, under the same operation id, before its own first.
 */
package org.persimmonrelay.fleet

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.ServerId

/** The last order to one receiver. [epoch] is of the lease under which it was decided. */
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

        /** The row's key; orders to an engine and about its host go to different receivers. */
        fun key(server: ManagedServer, kind: String): String = "intent/${server.domain}/$kind/${server.id}"

        /** The order's operation id, the same whoever sends it. */
        fun operation(server: ServerId, number: Long, epoch: Long): OperationId =
            OperationId("order-$server-$number-$epoch")
    }
}

/** An intent as stored; version 0 and no row when nothing was ever ordered. */
internal data class StoredIntent(val key: String, val row: IntentRow?, val version: Long)
