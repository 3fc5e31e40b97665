package org.persimmonrelay.experiment.laws

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.persimmonrelay.identity.OperationId

/** Reads the number out of an order's operation id, `order-{server}-{number}-{epoch}`. */
internal fun numberOf(operation: OperationId): Long = operation.value.split("-").let { it[it.size - 2].toLong() }

/** What one receiver of orders obeyed, and whether any order contradicted another. */
internal class OrderLedger(private val world: VirtualWorld, private val intentKey: String?) {
    private var last: OperationId? = null

    /** Orders that were newer than all before. */
    var obeyed: Int = 0
        private set

    /** Orders that were older than one obeyed before, or had the same place as another. */
    var conflicts: Int = 0
        private set

    /** Orders that were not the outstanding intent when they took effect. */
    var unauthorized: Int = 0
        private set

    /** Notes that [operation] takes effect now. */
    fun obey(operation: OperationId) {
        val before = last
        if (operation == before) return
        if (before != null && numberOf(operation) <= numberOf(before)) conflicts++ else obeyed++
        if (intentKey != null && !isOutstanding(operation)) unauthorized++
        last = operation
    }

    /** Notes that [operation] came while another one was under way. */
    fun disturb() {
        conflicts++
    }

    private fun isOutstanding(operation: OperationId): Boolean {
        val row = now { world.table.read(listOf(intentKey!!)) }.getOrNull()!!.firstOrNull() ?: return false
        val intent = Json.parseToJsonElement(row.value).jsonObject
        val settled = intent["settled"]?.jsonPrimitive?.boolean ?: false
        return intent.getValue("operation").jsonPrimitive.content == operation.value && !settled
    }
}
