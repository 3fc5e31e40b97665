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
 * The receiver of orders in an engine. An engine that checks fencing rejects older epochs, also after a crash, and
 * orders that arrive during another change. An engine that does not check executes every order, also
 * during another change. A crash loses the change in progress and the id of the last completed order.
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
    private var lastCompleted: OperationId? = null
    private var current: EngineCommand? = null
    private var readyAt = Moment.ZERO
    private var incarnationNumber = 1

    fun crash() {
        finishIfDue()
        current = null
        lastCompleted = null
        role = EngineRole.MIXED
        incarnationNumber++
    }

    fun execute(command: EngineCommand): EngineCommandResult {
        finishIfDue()
        if (checksFencing && command.epoch < newestEpoch) return EngineCommandResult.Fenced(newestEpoch)
        newestEpoch = maxOf(newestEpoch, command.epoch)
        val present = current
        if (present != null && present.operation != command.operation) {
            ledger.recordInterruption()
            if (checksFencing) return EngineCommandResult.Busy(present.operation)
        }
        if (present?.operation != command.operation && lastCompleted != command.operation) begin(command)
        return EngineCommandResult.Accepted
    }

    fun report(): EngineLoadReport {
        finishIfDue()
        return EngineLoadReport(
            server = id,
            incarnation = "$incarnationNumber",
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

    private fun begin(command: EngineCommand) {
        ledger.recordExecution(command.operation)
        current = command
        readyAt = time.now + CHANGE_TIME
    }

    private fun finishIfDue() {
        val command = current ?: return
        if (time.now < readyAt) return
        current = null
        lastCompleted = command.operation
        when (command) {
            is EngineCommand.ChangeRole -> role = command.role
            is EngineCommand.LoadModel -> models = listOf(command.model)
        }
    }

    private companion object {
        val CHANGE_TIME = 3.seconds
    }
}
