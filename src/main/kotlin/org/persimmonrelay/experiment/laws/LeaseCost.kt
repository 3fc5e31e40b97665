package org.persimmonrelay.experiment.laws

import kotlinx.serialization.Serializable

/**
 * What leases cost with [nodes] nodes and [duties] duties, without faults: rows a second of the table, and processor
 * time of one node in each second, the virtual network and table included.
 */
@Serializable
public data class LeaseCost(
    val nodes: Int,
    val duties: Int,
    val readsPerSecond: Double,
    val writesPerSecond: Double,
    val processorMicrosPerNodeSecond: Double,
)
