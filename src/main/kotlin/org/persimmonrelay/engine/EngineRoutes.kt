package org.persimmonrelay.engine

/** Paths of an engine's HTTP interface. Bodies are JSON; pieces come as server-sent events. */
public object EngineRoutes {
    /** Takes a [GenerateRequest]; answers with one event per [OutputChunk]. */
    public const val GENERATE: String = "/v1/generate"

    /** Answers with an [EngineLoadReport]. */
    public const val LOAD: String = "/v1/load"

    /** Takes an [EngineCommand]; answers with an [EngineCommandResult]. */
    public const val ORDERS: String = "/v1/orders"

    /** What each event line starts with. */
    public const val EVENT_PREFIX: String = "data: "
}
