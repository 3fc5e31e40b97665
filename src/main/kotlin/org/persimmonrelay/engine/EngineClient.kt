package org.persimmonrelay.engine

import arrow.core.Either
import kotlinx.coroutines.flow.Flow

/** Address of an engine's HTTP interface: `ip:port`. */
@JvmInline
public value class EngineAddress(public val value: String)

/** Client of the engines' interface. Thread-safe. */
public interface EngineClient {
    /**
     * Runs [request] on the engine at [address].
     *
     * A failure is emitted as the last element of the flow. Cancelling the collection cancels the stream on the engine.
     */
    public fun generate(address: EngineAddress, request: GenerateRequest): Flow<Either<EngineFailure, OutputChunk>>

    public suspend fun loadReport(address: EngineAddress): Either<EngineFailure, EngineLoadReport>

    public suspend fun execute(
        address: EngineAddress,
        command: EngineCommand,
    ): Either<EngineFailure, EngineCommandResult>
}
