package org.persimmonrelay.fleet

import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.engine.EngineCommand
import org.persimmonrelay.engine.EngineCommandResult
import org.persimmonrelay.engine.EngineFailure
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.platform.HostList

/** Sends orders to engines and reads engines' load reports to see whether a change is done. */
internal class EngineOrderSender(
    private val engines: EngineClient,
    private val hosts: HostList,
    private val settings: OrderSettings,
) : OrderSender {
    override val kind: String = "engine"

    override suspend fun send(server: ManagedServer, intent: IntentRow, epoch: Long): SendResult? {
        val answer = withTimeoutOrNull(settings.orderTimeout) { engines.execute(server.address, order(intent, epoch)) }
        return answer?.fold({ resultOf(it) }, { resultOf(it, intent, epoch) })
    }

    override suspend fun isDone(server: ManagedServer, intent: IntentRow): Boolean {
        val report = withTimeoutOrNull(settings.orderTimeout) { engines.loadReport(server.address).getOrNull() }
        return report != null && report.confirms(intent.change)
    }

    override suspend fun isGone(server: ManagedServer): Boolean {
        val current = hosts.hosts().getOrNull() ?: return false
        return current.none { it.server == server.id }
    }

    private fun resultOf(failure: EngineFailure): SendResult? = when (failure) {
        is EngineFailure.NotSent, is EngineFailure.Refused -> SendResult.NoAnswer
        is EngineFailure.RequestFailed, is EngineFailure.TimedOut -> null
    }

    private fun resultOf(answer: EngineCommandResult, intent: IntentRow, epoch: Long): SendResult = when (answer) {
        is EngineCommandResult.Accepted -> SendResult.InProgress
        is EngineCommandResult.Fenced -> if (answer.newestEpoch > epoch) SendResult.Fenced else SendResult.NoAnswer
        is EngineCommandResult.Busy ->
            if (answer.operation == intent.operation) SendResult.InProgress else SendResult.NoAnswer
    }

    private fun order(intent: IntentRow, epoch: Long): EngineCommand = when (val change = intent.change) {
        is ServerChange.Role -> EngineCommand.ChangeRole(intent.operation, epoch, change.role)
        is ServerChange.Load -> EngineCommand.LoadModel(
            intent.operation,
            epoch,
            change.model,
            change.adapter,
            change.version,
        )
        is ServerChange.Platform -> error("A platform change can't be sent to an engine.")
    }
}

/** True when the engine's load report shows [change] as done. Reports name models and adapters, not versions. */
internal fun EngineLoadReport.confirms(change: ServerChange): Boolean = when (change) {
    is ServerChange.Role -> role == change.role
    is ServerChange.Load -> listOfNotNull(change.model, change.adapter).all { it in models }
    is ServerChange.Platform -> false
}
