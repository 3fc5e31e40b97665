package org.persimmonrelay.node

import org.persimmonrelay.scale.NodeDemand

/** Tells the demand of the callers of all nodes. */
internal fun interface DemandSource {
    /** Returns what nodes have answered since the last call, and asks them again. */
    suspend fun collect(): List<NodeDemand>
}
