package org.persimmonrelay.experiment.laws

import java.util.stream.LongStream

/**
 * A law whose schedules are independent of each other and run on several threads. [ours] and [naive] run one schedule
 * for the real and the naive version, and return true when the law held.
 */
internal class ScheduledLaw(
    override val name: String,
    private val ours: (seed: Long) -> Boolean,
    private val naive: (seed: Long) -> Boolean,
) : Law {
    override fun run(schedules: Int, seed: Long): LawResult {
        val failing = failing(schedules, seed, ours)
        return LawResult(
            law = name,
            schedules = schedules,
            naiveViolations = failing(schedules, seed, naive).size,
            violations = failing.size,
            firstFailingSeed = failing.minOrNull(),
        )
    }

    /** Seeds of the schedules for which [holds] is false. */
    private fun failing(schedules: Int, seed: Long, holds: (Long) -> Boolean): LongArray =
        LongStream.range(0, schedules.toLong()).map { seed + it }.parallel().filter { !holds(it) }.toArray()
}
