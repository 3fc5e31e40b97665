package org.persimmonrelay.experiment.laws

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineCommand
import org.persimmonrelay.engine.EngineCommandResult
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.ServerId
import kotlin.time.Duration.Companion.seconds

/**
 * An engine's side of orders. One that checks fencing keeps the newest number over a crash; one that does not
 * obeys whatever comes, also in the middle of another change, and forgets which orders it had.
 */
internal class VirtualEngine(
    val id: ServerId,
    val checksFencing: Boolean,
    private val time: VirtualTime,
    val ledger: OrderLedger,
) {
    private var newestEpoch = 0L
    private var role = EngineRole.MIXED
    private var models = listOf("base")
    private var done: OperationId? = null
    private var underWay: EngineCommand? = null
    private var readyAt = Moment.ZERO
    private var lives = 1

    fun crash() {
        finishIfDue()
        underWay = null
        done = null
        role = EngineRole.MIXED
        lives++
    }

    fun order(order: EngineCommand): EngineCommandResult {
        finishIfDue()
        if (checksFencing && order.epoch < newestEpoch) return EngineCommandResult.Fenced(newestEpoch)
        newestEpoch = maxOf(newestEpoch, order.epoch)
        val present = underWay
        if (present != null && present.operation != order.operation) {
            ledger.disturb()
            if (checksFencing) return EngineCommandResult.Busy(present.operation)
        }
        if (present?.operation != order.operation && done != order.operation) begin(order)
        return EngineCommandResult.Accepted
    }

    fun report(): EngineLoadReport {
        finishIfDue()
        return EngineLoadReport(
            server = id,
            incarnation = "$lives",
            sequence = time.now.nanos,
            role = role,
            models = models,
            queuedPromptTokens = 0,
            runningRequests = 0,
            remainingOutputTokens = 0,
            kvTokensUsed = 0,
            kvTokensTotal = 0,
        )
    }

    private fun begin(order: EngineCommand) {
        ledger.obey(order.operation)
        underWay = order
        readyAt = time.now + CHANGE
    }

    private fun finishIfDue() {
        val order = underWay ?: return
        if (time.now < readyAt) return
        underWay = null
        done = order.operation
        when (order) {
            is EngineCommand.ChangeRole -> role = order.role
            is EngineCommand.LoadModel -> models = listOf(order.model)
        }
    }

    private companion object {
        val CHANGE = 3.seconds
    }
}
