package org.persimmonrelay.measure

import kotlinx.serialization.Serializable
import org.persimmonrelay.experiment.laws.OnceLoad

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

/** Measures the group commit of claims in virtual time. */
public object OnceMeasure {
    /** The cost at several rates. */
    public fun cost(): List<OnceCost> = RATES.map { OnceLoad(it).measure() }

    private val RATES = listOf(1, 10, 20, 100, 500)
}
