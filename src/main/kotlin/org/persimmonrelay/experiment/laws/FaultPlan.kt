package org.persimmonrelay.experiment.laws

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One fault of process [victim], [at] after the start. [detail] selects a variant of the kind of fault. */
internal data class PlannedFault(
    val kind: FaultKind,
    val at: Duration,
    val duration: Duration,
    val victim: Int,
    val detail: Int,
)

/** The faults of one schedule: one or two kinds, each up to three times. */
internal class FaultPlan(random: Random, processes: Int, kinds: List<FaultKind>, within: Duration) {
    val faults: List<PlannedFault> =
        kinds
            .shuffled(random)
            .take(1 + random.nextInt(2))
            .flatMap { kind -> List(1 + random.nextInt(MAX_REPEATS)) { fault(kind, random, processes, within) } }

    private fun fault(kind: FaultKind, random: Random, processes: Int, within: Duration) = PlannedFault(
        kind = kind,
        at = within * random.nextDouble(),
        duration = SHORTEST + (LONGEST - SHORTEST) * random.nextDouble(),
        victim = random.nextInt(processes),
        detail = random.nextInt(DETAILS),
    )

    private companion object {
        const val MAX_REPEATS = 3
        const val DETAILS = 1_000
        val SHORTEST = 0.2.seconds
        val LONGEST = 40.seconds
    }
}
