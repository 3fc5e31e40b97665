package org.persimmonrelay.experiment.laws

/** Laws on orders to engines and the platform from lease holders that are killed, paused, partitioned and replaced. */
internal object OrderLaws {
    val ENGINES: Law = ScheduledLaw(
        name = "an engine that checks fencing never gets conflicting orders",
        ours = { EngineOrderSchedule(it, checksFencing = true).runOurs() },
        naive = { EngineOrderSchedule(it, checksFencing = true).runNaive() },
    )

    val UNCHECKED_ENGINES: Law = ScheduledLaw(
        name = "an engine that ignores fencing never gets conflicting orders",
        ours = { EngineOrderSchedule(it, checksFencing = false).runOurs() },
        naive = { EngineOrderSchedule(it, checksFencing = false).runNaive() },
    )

    val PLATFORM: Law = ScheduledLaw(
        name = "the platform gets start and stop orders from one process",
        ours = { PlatformOrderSchedule(it).runOurs() },
        naive = { PlatformOrderSchedule(it).runNaive() },
    )
}
