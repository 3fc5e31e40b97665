package org.persimmonrelay.experiment.laws

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.engine.EngineFailure
import org.persimmonrelay.engine.EngineOrder
import org.persimmonrelay.engine.EngineOrderAnswer
import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.engine.LoadReport
import org.persimmonrelay.engine.Piece
import kotlin.time.Duration.Companion.seconds

/** Orders and reports of [engines], by address, over the virtual network; it generates nothing. */
internal class VirtualEngineClient(
    private val network: VirtualNetwork,
    private val process: VirtualProcess,
    private val engines: Map<String, VirtualEngine>,
) : EngineClient {
    override fun generate(address: EngineAddress, request: GenerateRequest): Flow<Either<EngineFailure, Piece>> =
        emptyFlow()

    override suspend fun load(address: EngineAddress): Either<EngineFailure, LoadReport> =
        call(Target.PEER, address) { it.report() }

    override suspend fun order(address: EngineAddress, order: EngineOrder): Either<EngineFailure, EngineOrderAnswer> =
        call(Target.RECEIVER, address) { it.order(order) }

    private suspend fun <T : Any> call(
        target: Target,
        address: EngineAddress,
        effect: (VirtualEngine) -> T,
    ): Either<EngineFailure, T> {
        val engine = engines.getValue(address.value)
        val answer = network.call(process, target, TIMEOUT) { effect(engine) }
        return answer?.right() ?: EngineFailure.Silent("No answer.").left()
    }

    private companion object {
        val TIMEOUT = 2.seconds
    }
}
