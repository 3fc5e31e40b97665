package org.persimmonrelay.experiment.laws

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.engine.EngineCommand
import org.persimmonrelay.engine.EngineCommandResult
import org.persimmonrelay.engine.EngineFailure
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.engine.OutputChunk
import kotlin.time.Duration.Companion.seconds

/** Sends orders to [engines], by address, and gets their load reports over the virtual network; does not generate. */
internal class VirtualEngineClient(
    private val network: VirtualNetwork,
    private val process: VirtualProcess,
    private val engines: Map<String, VirtualEngine>,
) : EngineClient {
    override fun generate(address: EngineAddress, request: GenerateRequest): Flow<Either<EngineFailure, OutputChunk>> =
        emptyFlow()

    override suspend fun loadReport(address: EngineAddress): Either<EngineFailure, EngineLoadReport> =
        call(Target.PEER, address) { it.report() }

    override suspend fun execute(
        address: EngineAddress,
        command: EngineCommand,
    ): Either<EngineFailure, EngineCommandResult> = call(Target.RECEIVER, address) { it.execute(command) }

    private suspend fun <T : Any> call(
        target: Target,
        address: EngineAddress,
        effect: (VirtualEngine) -> T,
    ): Either<EngineFailure, T> {
        val engine = engines.getValue(address.value)
        val response = network.call(process, target, TIMEOUT) { effect(engine) }
        return response?.right() ?: EngineFailure.TimedOut("No response.").left()
    }

    private companion object {
        val TIMEOUT = 2.seconds
    }
}
