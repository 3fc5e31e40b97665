package org.persimmonrelay.experiment.laws

/** A call that may not be repeated runs at most once, and every answer to it is that of its one run. */
internal object OnceLaw {
    val LAW: Law = ScheduledLaw(
        name = "a call that may not be repeated runs at most once",
        ours = { OnceSchedule(it).runOurs().ranAtMostOnce },
        naive = { OnceSchedule(it).runNaive().ranAtMostOnce },
    )
}

/** An attempt that was refused as "not run" reaches no service, before the refusal or after. */
internal object NotRunLaw {
    val LAW: Law = ScheduledLaw(
        name = "a refusal that says not run is true",
        ours = { OnceSchedule(it).runOurs().notRunWasTrue },
        naive = { OnceSchedule(it).runNaive().notRunWasTrue },
    )
}
