package org.persimmonrelay.engine

import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.OperationId

/** A change to an engine. [epoch] is the fencing token: engines that check it refuse an older one. */
@Serializable
public sealed interface EngineOrder {
    public val operation: OperationId
    public val epoch: Long

    /** Become [role]; takes the engine away for seconds, so it must be drained first. */
    @Serializable
    public data class ChangeRole(override val operation: OperationId, override val epoch: Long, val role: EngineRole) :
        EngineOrder

    /** Load [model], optionally an [adapter] for it, at [version]. */
    @Serializable
    public data class Load(
        override val operation: OperationId,
        override val epoch: Long,
        val model: String,
        val adapter: String? = null,
        val version: String? = null,
    ) : EngineOrder
}

/** An engine's answer to an order. */
@Serializable
public sealed interface EngineOrderAnswer {
    /** Taken; the engine reports its new state when done. */
    @Serializable
    public data object Accepted : EngineOrderAnswer

    /** The engine has seen a newer epoch. */
    @Serializable
    public data class Fenced(val newestEpoch: Long) : EngineOrderAnswer

    /** Another order is under way. */
    @Serializable
    public data class Busy(val operation: OperationId) : EngineOrderAnswer
}
