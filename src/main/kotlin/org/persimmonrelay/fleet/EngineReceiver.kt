package org.persimmonrelay.fleet

import kotlinx.coroutines.withTimeoutOrNull
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.engine.EngineCommand
import org.persimmonrelay.engine.EngineCommandResult
import org.persimmonrelay.engine.EngineFailure
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.platform.HostList

/** Orders to engines. */
internal class EngineReceiver(
    private val engines: EngineClient,
    private val hosts: HostList,
    private val settings: OrderSettings,
) : Receiver {
    override val kind: String = "engine"

    override suspend fun send(server: ManagedServer, intent: IntentRow, epoch: Long): Receipt? {
        val answer = withTimeoutOrNull(settings.orderTimeout) { engines.execute(server.address, order(intent, epoch)) }
        return answer?.fold({ receiptOf(it) }, { receiptOf(it, intent, epoch) })
    }

    override suspend fun isDone(server: ManagedServer, intent: IntentRow): Boolean {
        val report = withTimeoutOrNull(settings.orderTimeout) { engines.loadReport(server.address).getOrNull() }
        return report != null && report.shows(intent.change)
    }

    override suspend fun isGone(server: ManagedServer): Boolean {
        val present = hosts.hosts().getOrNull() ?: return false
        return present.none { it.server == server.id }
    }

    private fun receiptOf(failure: EngineFailure): Receipt? = when (failure) {
        is EngineFailure.NotSent, is EngineFailure.Refused -> Receipt.Silent
        is EngineFailure.RequestFailed, is EngineFailure.TimedOut -> null
    }

    private fun receiptOf(answer: EngineCommandResult, intent: IntentRow, epoch: Long): Receipt = when (answer) {
        is EngineCommandResult.Accepted -> Receipt.UnderWay
        is EngineCommandResult.Fenced -> if (answer.newestEpoch > epoch) Receipt.Fenced else Receipt.Silent
        is EngineCommandResult.Busy -> if (answer.operation == intent.operation) Receipt.UnderWay else Receipt.Silent
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
        is ServerChange.Platform -> error("The platform's orders do not go to engines.")
    }
}

/** True when the engine's own report agrees with [change]. Reports name models and adapters, not versions. */
internal fun EngineLoadReport.shows(change: ServerChange): Boolean = when (change) {
    is ServerChange.Role -> role == change.role
    is ServerChange.Load -> listOfNotNull(change.model, change.adapter).all { it in models }
    is ServerChange.Platform -> false
}
