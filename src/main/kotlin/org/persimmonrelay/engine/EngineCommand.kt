package org.persimmonrelay.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.persimmonrelay.identity.OperationId

/** A command that changes an engine. [epoch] is the fencing token: engines that check it reject an older one. */
@Serializable
public sealed interface EngineCommand {
    public val operation: OperationId
    public val epoch: Long

    /** Switch to [role]. The engine is unavailable for some seconds meanwhile, so it must be drained first. */
    @Serializable
    @SerialName("org.persimmonrelay.engine.EngineOrder.ChangeRole")
    public data class ChangeRole(override val operation: OperationId, override val epoch: Long, val role: EngineRole) :
        EngineCommand

    /** Load [model], optionally an [adapter] for it, at [version]. */
    @Serializable
    @SerialName("org.persimmonrelay.engine.EngineOrder.Load")
    public data class LoadModel(
        override val operation: OperationId,
        override val epoch: Long,
        val model: String,
        val adapter: String? = null,
        val version: String? = null,
    ) : EngineCommand
}

/** An engine's reply to a command. */
@Serializable
public sealed interface EngineCommandResult {
    /** The engine executes the command and reports its new state when done. */
    @Serializable
    @SerialName("org.persimmonrelay.engine.EngineOrderAnswer.Accepted")
    public data object Accepted : EngineCommandResult

    /** Rejected, since the engine has seen a newer epoch. */
    @Serializable
    @SerialName("org.persimmonrelay.engine.EngineOrderAnswer.Fenced")
    public data class Fenced(val newestEpoch: Long) : EngineCommandResult

    /** Rejected, since the engine is still executing another command, [operation]. */
    @Serializable
    @SerialName("org.persimmonrelay.engine.EngineOrderAnswer.Busy")
    public data class Busy(val operation: OperationId) : EngineCommandResult
}
