package org.persimmonrelay.experiment.laws

import kotlinx.serialization.Serializable

/** A promise of the system, tried in random schedules of faults against a naive version of its mechanism. */
public interface Law {
    /** Short name, as in docs/LAWS.md. */
    public val name: String

    /** Runs [schedules] schedules, each drawn from [seed] and its own number, for both versions. */
    public fun run(schedules: Int, seed: Long): LawResult
}

/** What a law's schedules showed: how many of them broke it with the naive version and with ours. */
@Serializable
public data class LawResult(
    val law: String,
    val schedules: Int,
    val naiveViolations: Int,
    val violations: Int,
    val firstFailingSeed: Long?,
)
