package org.persimmonrelay.fairness

import kotlinx.serialization.Serializable

/**
 * Settings of weighted fair sharing.
 *
 * [summaryEntries] bounds the size of a message between nodes. [maxLeadSeconds] bounds, in engine seconds per
 * unit of weight, how long past consumption is held against a workspace; [idleCreditSeconds] is what a workspace
 * that was idle may have in hand. The credit covers what other nodes tell late. Demand is averaged over
 * [demandSeconds].
 */
@Serializable
public data class FairShareSettings(
    val summaryEntries: Int = 32,
    val maxLeadSeconds: Double = 20.0,
    val idleCreditSeconds: Double = 3.0,
    val demandSeconds: Double = 5.0,
)
