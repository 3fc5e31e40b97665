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
    public fun generate(address: EngineAddress, request: GenerateRequest): Flow<Either<EngineFailure, Piece>>

    public suspend fun load(address: EngineAddress): Either<EngineFailure, LoadReport>

    public suspend fun order(address: EngineAddress, order: EngineOrder): Either<EngineFailure, EngineOrderAnswer>
}
