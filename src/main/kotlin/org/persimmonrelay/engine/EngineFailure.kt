package org.persimmonrelay.engine

/** Why a call to an engine did not return a complete response. */
public sealed interface EngineFailure {
    public val message: String

    /** No connection was established, so the request was not run. */
    public data class NotSent(override val message: String) : EngineFailure

    /** The connection failed or the engine returned an error after bytes had been sent; the request may have run. */
    public data class RequestFailed(override val message: String) : EngineFailure

    /** The engine sent no data within the timeout; the connection was closed. */
    public data class TimedOut(override val message: String) : EngineFailure

    /** The engine refused the request before running it, for example while it drains or loads a model. */
    public data class Refused(override val message: String) : EngineFailure
}
