package org.persimmonrelay.experiment.laws

/** Runs every law. */
public object LawExperiment {
    /** All laws that have an experiment. */
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

    /** Runs [schedules] schedules in all, shared evenly between the laws, from [seed]. */
    public fun run(schedules: Int, seed: Long): List<LawResult> {
        val each = (schedules + laws.size - 1) / laws.size
        return laws.map { it.run(each, seed) }
    }
}
