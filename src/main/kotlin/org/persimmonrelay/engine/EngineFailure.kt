package org.persimmonrelay.engine

/** Why a call to an engine gave no whole answer. */
public sealed interface EngineFailure {
    public val message: String

    /** No connection was made: the request has certainly not run. */
    public data class NotSent(override val message: String) : EngineFailure

    /** The connection broke or the engine answered with an error after bytes had left. */
    public data class RequestFailed(override val message: String) : EngineFailure

    /** Nothing arrived within the progress deadline; the connection was replaced. */
    public data class TimedOut(override val message: String) : EngineFailure

    /** The engine refused before running, such as while it drains or loads. */
    public data class Refused(override val message: String) : EngineFailure
}
