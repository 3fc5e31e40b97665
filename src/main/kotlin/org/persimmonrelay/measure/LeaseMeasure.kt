package org.persimmonrelay.measure

import org.persimmonrelay.experiment.laws.LeaseComparison
import org.persimmonrelay.experiment.laws.LeaseCost
import org.persimmonrelay.experiment.laws.LeaseFigures
import org.persimmonrelay.experiment.laws.LeaseLoad

/** Measures the cost of leases, and their behaviour under faults, in virtual time. */
public object LeaseMeasure {
    /** The cost at sizes from the present deployment up to the design limit. */
    public fun cost(): List<LeaseCost> = SIZES.map { (nodes, duties) -> cost(nodes, duties) }

    /** The cost with [nodes] nodes and [duties] duties. */
    public fun cost(nodes: Int, duties: Int): LeaseCost = LeaseLoad(nodes, duties).measure()

    /**
     * Compares leases that expire when the observer has seen no renewal for a period ("watched silence") with leases
     * that expire by wall clock, over [schedules] random schedules of each kind of fault.
     */
    public fun comparison(schedules: Int, seed: Long): List<LeaseFigures> = LeaseComparison.run(schedules, seed)

    /** Pairs of nodes and duties: one duty per failure domain and usage shard, and one for the claim sweep. */
    private val SIZES = listOf(7 to 5, 40 to 8, 120 to 13, 370 to 25)
}
