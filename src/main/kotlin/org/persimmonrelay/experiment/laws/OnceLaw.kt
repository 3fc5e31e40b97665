package org.persimmonrelay.experiment.laws

/** A call with an idempotency key runs at most once, and all its responses are the response of that run. */
internal object OnceLaw {
    val LAW: Law = ScheduledLaw(
        name = "a call that may not be repeated runs at most once",
        ours = { OnceSchedule(it).runOurs().ranAtMostOnce },
        naive = { OnceSchedule(it).runNaive().ranAtMostOnce },
    )
}

/** An attempt that was refused as "not run" is not executed by the service, neither before the refusal nor after it. */
internal object NotRunLaw {
    val LAW: Law = ScheduledLaw(
        name = "a refusal that says not run is true",
        ours = { OnceSchedule(it).runOurs().notRunWasTrue },
        naive = { OnceSchedule(it).runNaive().notRunWasTrue },
    )
}
