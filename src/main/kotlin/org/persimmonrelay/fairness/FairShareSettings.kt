package org.persimmonrelay.fairness

import kotlinx.serialization.Serializable

/**
 * Settings of weighted fair sharing.
 *
 * [summaryEntries] limits the number of workspaces in a summary, and so the size of a message between nodes.
 * [maxLeadSeconds] limits the past consumption that counts against a workspace, and [idleCreditSeconds] is the credit
 * of a workspace that was idle, both in engine seconds per unit of weight. The credit covers consumption that other
 * nodes report late. Demand is averaged over [demandSeconds].
 */
@Serializable
public data class FairShareSettings(
    val summaryEntries: Int = 32,
    val maxLeadSeconds: Double = 20.0,
    val idleCreditSeconds: Double = 3.0,
    val demandSeconds: Double = 5.0,
)
