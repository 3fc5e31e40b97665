package org.persimmonrelay.experiment.laws

import kotlinx.serialization.Serializable

/**
 * A guarantee of the system, checked in random schedules of faults for the real mechanism and for a naive version.
 */
public interface Law {
    /** Short name, as in docs/LAWS.md. */
    public val name: String

    /** Runs [schedules] schedules for both versions; the seed of each is [seed] plus its number. */
    public fun run(schedules: Int, seed: Long): LawResult
}

/**
 * Number of schedules in which the naive version and the real one violated the law. [firstFailingSeed] is the lowest
 * seed of a schedule that the real version failed, or null.
 */
@Serializable
public data class LawResult(
    val law: String,
    val schedules: Int,
    val naiveViolations: Int,
    val violations: Int,
    val firstFailingSeed: Long?,
)
