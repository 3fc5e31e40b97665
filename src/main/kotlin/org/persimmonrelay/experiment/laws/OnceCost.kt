package org.persimmonrelay.experiment.laws

import kotlinx.serialization.Serializable

/**
 * What claims cost at [claimsPerSecond] calls a second on one node: transactions a second for claims and outcomes,
 * rows written a second, and how long a claim takes, in milliseconds, over a store with some 12 ms of round trip.
 */
@Serializable
public data class OnceCost(
    val claimsPerSecond: Int,
    val transactionsPerSecond: Double,
    val rowsWrittenPerSecond: Double,
    val meanClaimMillis: Double,
    val longestClaimMillis: Double,
    val notRun: Int,
)
