package org.persimmonrelay.engine

/** Paths of an engine's HTTP interface. Bodies are JSON; pieces come as server-sent events. */
public object EngineRoutes {
    /** Takes a [GenerateRequest]; answers with one event per [Piece]. */
    public const val GENERATE: String = "/v1/generate"

    /** Answers with a [LoadReport]. */
    public const val LOAD: String = "/v1/load"

    /** Takes an [EngineOrder]; answers with an [EngineOrderAnswer]. */
    public const val ORDERS: String = "/v1/orders"

    /** What each event line starts with. */
    public const val EVENT_PREFIX: String = "data: "
}
