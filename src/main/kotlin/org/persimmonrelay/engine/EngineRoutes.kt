package org.persimmonrelay.engine

/** Paths of an engine's HTTP interface. Bodies are JSON; output chunks are sent as server-sent events. */
public object EngineRoutes {
    /** Takes a [GenerateRequest]; responds with one event per [OutputChunk]. */
    public const val GENERATE: String = "/v1/generate"

    /** Returns an [EngineLoadReport]. */
    public const val LOAD: String = "/v1/load"

    /** Takes an [EngineCommand]; returns an [EngineCommandResult]. */
    public const val ORDERS: String = "/v1/orders"

    /** Prefix of each event line. */
    public const val EVENT_PREFIX: String = "data: "
}
