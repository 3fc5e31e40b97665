package org.persimmonrelay.measure

import org.persimmonrelay.experiment.laws.LeaseComparison
import org.persimmonrelay.experiment.laws.LeaseCost
import org.persimmonrelay.experiment.laws.LeaseFigures
import org.persimmonrelay.experiment.laws.LeaseLoad

/** Measures the cost and the quality of leases in virtual time. */
public object LeaseMeasure {
    /** The cost at the sizes of today and up to the size designed for. */
    public fun cost(): List<LeaseCost> = SIZES.map { (nodes, duties) -> cost(nodes, duties) }

    /** The cost with [nodes] nodes and [duties] duties. */
    public fun cost(nodes: Int, duties: Int): LeaseCost = LeaseLoad(nodes, duties).measure()

    /** Watched silence against a wall-clock expiry, [schedules] schedules of each kind of fault. */
    public fun comparison(schedules: Int, seed: Long): List<LeaseFigures> = LeaseComparison.run(schedules, seed)

    /** Nodes, and duties: one per failure domain, the usage shards, and the sweep. */
    private val SIZES = listOf(7 to 5, 40 to 8, 120 to 13, 370 to 25)
}
