package org.persimmonrelay.experiment.laws

/** Runs the schedules of all laws in [laws]. */
public object LawExperiment {
    /** Laws of the experiment, in the order in which they run. */
    public val laws: List<Law> = listOf(
        OrderLaws.ENGINES,
        OrderLaws.UNCHECKED_ENGINES,
        LeaseLaw.LAW,
        OrderLaws.PLATFORM,
        UsageLaw.LAW,
        OnceLaw.LAW,
        NotRunLaw.LAW,
        ConfigLaw,
        KeyFreshnessLaw,
    )

    /** Runs about [schedules] schedules in total: the same number, rounded up, for each law. Seeds start at [seed]. */
    public fun run(schedules: Int, seed: Long): List<LawResult> {
        val each = (schedules + laws.size - 1) / laws.size
        return laws.map { it.run(each, seed) }
    }
}
