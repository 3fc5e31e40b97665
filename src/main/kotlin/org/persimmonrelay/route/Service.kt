package org.persimmonrelay.route

import org.persimmonrelay.identity.FailureDomain
import kotlin.time.Duration

/** A service as the operator describes it. [maxConnections] is for each server, over all nodes together. */
public data class Service(
    val id: ServiceId,
    val maxConnections: Int,
    val engine: EngineShape? = null,
    val scaling: Scaling? = null,
)

/** What the engines of a service have in common. [slots] run at once; [kvTokens] fit into an engine's memory. */
public data class EngineShape(val slots: Int, val kvTokens: Long)

/** How many servers of a service may be ordered in each failure domain, and what a second of one costs there. */
public data class Scaling(
    val min: Int,
    val max: Int,
    val startup: Duration,
    val spotPrice: Double?,
    val prices: Map<FailureDomain, Double>,
)
