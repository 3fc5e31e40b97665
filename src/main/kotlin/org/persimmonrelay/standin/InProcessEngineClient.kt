package org.persimmonrelay.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.map
import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.engine.EngineCommand
import org.persimmonrelay.engine.EngineCommandResult
import org.persimmonrelay.engine.EngineFailure
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.engine.OutputChunk

/** Speaks to stand-in engines of the same process without sockets. */
public class InProcessEngineClient(private val engines: Map<EngineAddress, StandInEngine>) : EngineClient {
    override fun generate(address: EngineAddress, request: GenerateRequest): Flow<Either<EngineFailure, OutputChunk>> {
        val engine = engines[address] ?: return flowOf(unknown(address).left())
        return engine.generate(request).fold(
            ifLeft = { flowOf(EngineFailure.Refused(it).left()) },
            ifRight = { pieces -> carried(pieces) },
        )
    }

    override suspend fun loadReport(address: EngineAddress): Either<EngineFailure, EngineLoadReport> =
        engines[address]?.load()?.right() ?: unknown(address).left()

    override suspend fun execute(
        address: EngineAddress,
        command: EngineCommand,
    ): Either<EngineFailure, EngineCommandResult> = engines[address]?.order(command)?.right() ?: unknown(address).left()

    private fun carried(pieces: Flow<OutputChunk>): Flow<Either<EngineFailure, OutputChunk>> {
        val answers: Flow<Either<EngineFailure, OutputChunk>> = pieces.map { it.right() }
        return answers.catch { emit(EngineFailure.RequestFailed(it.message.orEmpty()).left()) }
    }

    private fun unknown(address: EngineAddress) = EngineFailure.NotSent("There is no engine at ${address.value}.")
}
