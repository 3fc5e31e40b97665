package org.persimmonrelay.engine

import arrow.core.Either
import kotlinx.coroutines.flow.Flow

/** Where an engine answers: `ip:port`. */
@JvmInline
public value class EngineAddress(public val value: String)

/** Speaks to engines. Thread-safe. */
public interface EngineClient {
    /**
     * Runs [request] on the engine at [address].
     *
     * A failure ends the flow as its last element. Cancelling the collection cancels the stream on the engine.
     */
    public fun generate(address: EngineAddress, request: GenerateRequest): Flow<Either<EngineFailure, OutputChunk>>

    public suspend fun loadReport(address: EngineAddress): Either<EngineFailure, EngineLoadReport>

    public suspend fun execute(address: EngineAddress, order: EngineCommand): Either<EngineFailure, EngineCommandResult>
}
