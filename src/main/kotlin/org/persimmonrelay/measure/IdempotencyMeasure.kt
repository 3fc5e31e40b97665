package org.persimmonrelay.measure

import org.persimmonrelay.experiment.laws.OnceCost
import org.persimmonrelay.experiment.laws.OnceLoad

/** Measures the group commit of idempotency claims in virtual time. */
public object IdempotencyMeasure {
    /** The cost at several rates of claims per second. */
    public fun cost(): List<OnceCost> = RATES.map { OnceLoad(it).measure() }

    private val RATES = listOf(1, 10, 20, 100, 500)
}
