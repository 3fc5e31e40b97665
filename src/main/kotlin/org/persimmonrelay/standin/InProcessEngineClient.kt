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

/** Calls stand-in engines of the same process directly, without sockets. */
public class InProcessEngineClient(private val engines: Map<EngineAddress, StandInEngine>) : EngineClient {
    override fun generate(address: EngineAddress, request: GenerateRequest): Flow<Either<EngineFailure, OutputChunk>> {
        val engine = engines[address] ?: return flowOf(unknown(address).left())
        return engine.generate(request).fold(
            ifLeft = { flowOf(EngineFailure.Refused(it).left()) },
            ifRight = { chunks -> wrapChunks(chunks) },
        )
    }

    override suspend fun loadReport(address: EngineAddress): Either<EngineFailure, EngineLoadReport> =
        engines[address]?.loadReport()?.right() ?: unknown(address).left()

    override suspend fun execute(
        address: EngineAddress,
        command: EngineCommand,
    ): Either<EngineFailure, EngineCommandResult> =
        engines[address]?.execute(command)?.right() ?: unknown(address).left()

    private fun wrapChunks(chunks: Flow<OutputChunk>): Flow<Either<EngineFailure, OutputChunk>> {
        val results: Flow<Either<EngineFailure, OutputChunk>> = chunks.map { it.right() }
        return results.catch { emit(EngineFailure.RequestFailed(it.message.orEmpty()).left()) }
    }

    private fun unknown(address: EngineAddress) = EngineFailure.NotSent("No stand-in engine at ${address.value}.")
}
