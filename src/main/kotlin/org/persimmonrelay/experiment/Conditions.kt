package org.persimmonrelay.experiment

/** A fault injected into a run [at] this time, in seconds since the start of the run. */
internal sealed interface Fault {
    val at: Double

    /**
     * One engine crashes and restarts after [downSeconds]. [index], modulo their number, selects it among the engines
     * that are changing their role, or among all running engines when there are none.
     */
    data class Crash(override val at: Double, val index: Int, val downSeconds: Double) : Fault

    /** The last [servers] engines of [domain] are spot servers; they get notice and stop [noticeSeconds] later. */
    data class DomainLoss(override val at: Double, val domain: Int, val servers: Int, val noticeSeconds: Double) :
        Fault

    /** Region [region] is partitioned from the others for [seconds]. */
    data class RegionPartition(override val at: Double, val region: Int, val seconds: Double) : Fault
}

/**
 * Conditions of a run. Engines send load reports every [reportPeriod] seconds, which arrive [reportLag] seconds later.
 * [lostReports] and [lostProgress] are the fractions of load reports and progress events that are lost, from 0 to 1.
 * A role change takes [roleChangeSeconds]. [initialPromptShare] is the share of a domain's engines that start in the
 * prefill role.
 */
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

/** A policy under comparison: the production policy, or round robin as the baseline. */
internal enum class Arm { OURS, NAIVE }
