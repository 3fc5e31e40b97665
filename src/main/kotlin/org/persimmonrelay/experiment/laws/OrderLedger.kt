package org.persimmonrelay.experiment.laws

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.persimmonrelay.identity.OperationId

/** The number in an operation id of the form `order-{server}-{number}-{epoch}`. */
internal fun numberOf(operation: OperationId): Long = operation.value.split("-").let { it[it.size - 2].toLong() }

/** Orders that one receiver executed, and violations among them. [intentKey] is the row of the intent, or null. */
internal class OrderLedger(private val world: VirtualWorld, private val intentKey: String?) {
    private var lastExecuted: OperationId? = null

    /** Number of orders that were newer than all executed earlier. */
    var executed: Int = 0
        private set

    /** Number of orders that were not newer than the one executed previously, or arrived during another change. */
    var conflicts: Int = 0
        private set

    /** Number of orders that were not the outstanding intent when they took effect. */
    var unauthorized: Int = 0
        private set

    /** Records that [operation] takes effect now. A repetition of the last operation is ignored. */
    fun recordExecution(operation: OperationId) {
        val previous = lastExecuted
        if (operation == previous) return
        if (previous != null && numberOf(operation) <= numberOf(previous)) conflicts++ else executed++
        if (intentKey != null && !isOutstanding(operation)) unauthorized++
        lastExecuted = operation
    }

    /** Records an order that arrived during another change. */
    fun recordInterruption() {
        conflicts++
    }

    private fun isOutstanding(operation: OperationId): Boolean {
        val row = now { world.table.read(listOf(intentKey!!)) }.getOrNull()!!.firstOrNull() ?: return false
        val intent = Json.parseToJsonElement(row.value).jsonObject
        val settled = intent["settled"]?.jsonPrimitive?.boolean ?: false
        return intent.getValue("operation").jsonPrimitive.content == operation.value && !settled
    }
}
