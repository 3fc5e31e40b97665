package org.persimmonrelay.experiment

/** Something that goes wrong at a moment of a run, in seconds since its start. */
internal sealed interface Fault {
    val at: Double

    /** The engine that is number [index] among the changing ones, or among all when none changes, crashes. */
    data class Crash(override val at: Double, val index: Int, val downSeconds: Double) : Fault

    /** The last [servers] engines of [domain] are cheap; they are told to leave and gone [noticeSeconds] later. */
    data class DomainLoss(override val at: Double, val domain: Int, val servers: Int, val noticeSeconds: Double) :
        Fault

    /** Region [region] can't reach the others for [seconds]. */
    data class RegionCut(override val at: Double, val region: Int, val seconds: Double) : Fault
}

/** What a run takes place under. Load reports are made each [reportPeriod] and arrive [reportLag] later. */
internal data class Conditions(
    val faults: List<Fault> = emptyList(),
    val reportPeriod: Double = 0.25,
    val reportLag: Double = 0.25,
    val lostReports: Double = 0.0,
    val lostProgress: Double = 0.0,
    val roleChangeSeconds: Double = 5.0,
    val nodesPerRegion: Int = 2,
    val initialPromptShare: Double = 0.2,
)

/** A policy to compare. */
internal enum class Arm { OURS, NAIVE }
