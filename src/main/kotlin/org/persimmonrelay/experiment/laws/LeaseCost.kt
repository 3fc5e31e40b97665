package org.persimmonrelay.experiment.laws

import kotlinx.serialization.Serializable

/**
 * Load of [duties] leases with [nodes] nodes and no faults: rows of the table read and written per second, and CPU time
 * in microseconds that one node uses per second, including the virtual network and table.
 */
@Serializable
public data class LeaseCost(
    val nodes: Int,
    val duties: Int,
    val readsPerSecond: Double,
    val writesPerSecond: Double,
    val processorMicrosPerNodeSecond: Double,
)
