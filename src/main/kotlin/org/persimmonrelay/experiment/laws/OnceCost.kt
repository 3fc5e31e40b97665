package org.persimmonrelay.experiment.laws

import kotlinx.serialization.Serializable

/**
 * Load of idempotency claims at [claimsPerSecond] calls per second on one node: transactions per second for claims and
 * outcomes, rows written per second, and duration of a claim in milliseconds with a store round trip of about 12 ms.
 * [notRun] counts refused calls.
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
