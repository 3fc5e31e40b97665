package org.persimmonrelay.routing

import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.fairness.FairShareLedger
import org.persimmonrelay.identity.ServerId
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates the load of one engine: this node's own work there, which is known exactly, plus the work of other nodes.
 * The latter is the load report minus this node's own work at the time of the report.
 */
internal class EngineEstimate(
    var server: BackendServerConfig,
    private val settings: RoutingSettings,
    private val waitModel: WaitModel,
    private val ledger: FairShareLedger,
    since: Moment,
) {
    private class OwnLoad(val at: Moment, val sent: Long, val prefill: Long, val running: Int, val kv: Long)

    val id = ServerId(server.name)
    val seed: Long = PrefixDirectory.mix(server.name.hashCode().toLong())
    private val profile: EngineProfile = settings.engine
    private val history = ArrayDeque<OwnLoad>()
    private var sent = 0L
    private var ownPrefill = 0L
    private var ownRunning = 0
    private var ownKv = 0L
    private var otherPrefill = 0L
    private var otherPrefillMean = 0.0
    private var observedStep = 0.0
    private var stepMeasuredAt = since
    private var otherRunning = 0
    private var otherKv = 0L
    private var reportedAt = since
    private var report: EngineLoadReport? = null

    val role: EngineRole
        get() = report?.role ?: server.role

    /** When the last report arrived; before the first report, when the engine was added. */
    val lastReportAt: Moment
        get() = reportedAt

    val draining: Boolean
        get() = server.drain || (report?.draining ?: false)

    /** Sequences in decode or waiting for it. */
    val running: Int
        get() = ownRunning + otherRunning

    val kvUsed: Long
        get() = ownKv + otherKv

    private val kvTotal: Long
        get() = report?.kvTokensTotal?.takeIf { it > 0 } ?: profile.kvTokens

    fun canPrefill(): Boolean = role != EngineRole.DECODE

    fun canDecode(): Boolean = role != EngineRole.PREFILL

    /** Expected seconds until the engine would start the prefill of a further prompt. */
    fun prefillWait(): Double {
        val others = waitModel.reportWeight * otherPrefill + (1 - waitModel.reportWeight) * otherPrefillMean
        return (ownPrefill + others) / profile.prefillRate(role, running)
    }

    /** The prefill wait by the last report and by the mean of reports. */
    fun predictWait(): WaitPrediction {
        val rate = profile.prefillRate(role, running)
        return WaitPrediction((ownPrefill + otherPrefill) / rate, (ownPrefill + otherPrefillMean) / rate)
    }

    fun prefillSeconds(tokens: Int): Double = tokens / profile.prefillRate(role, running)

    /**
     * True if the engine can take a further prompt. This node's own prefill backlog there, which is known without
     * delay, is limited to the node's share of the pool, so the engine's queue stays bounded with any number of nodes.
     */
    fun hasPrefillRoom(now: Moment): Boolean {
        if (prefillWait() > settings.engineQueueSeconds) return false
        if (role == EngineRole.MIXED && stepMillis(now) > settings.betweenTokensMillis * MAX_MIXED_SHARE) return false
        if (ownPrefill == 0L) return true
        return ownPrefill <= ledger.poolShare * settings.engineQueueSeconds * profile.prefillRate(role, running)
    }

    /**
     * True if the engine can decode a further sequence of [tokens] in total. Near the engine's limit a node stays
     * within its share, as otherwise all nodes would use the same free capacity at once when a report shows it. Only
     * [prioritized] requests may use the remaining capacity there.
     */
    fun hasDecodeRoom(tokens: Int, prioritized: Boolean, now: Moment): Boolean {
        if (stepMillis(now) > settings.betweenTokensMillis * MAX_DECODE_SHARE) return false
        val share = ledger.poolShare
        val maxShare = if (prioritized) 1.0 else MAX_UNPRIORITIZED_SHARE
        val sequences = ownRunning + 1 <= share * profile.maxRunning || running + 1 <= maxShare * profile.maxRunning
        return sequences && (ownKv + tokens <= share * kvTotal || kvUsed + tokens <= maxShare * kvTotal)
    }

    /** Expected seconds between tokens with one more sequence on the engine. */
    fun stepSeconds(now: Moment): Double = maxOf(profile.stepSeconds(running + 1, 0), stepMillis(now) / MILLIS)

    /** Recent milliseconds between tokens of this node's own sequences; 0 if there is no recent value. */
    private fun stepMillis(now: Moment): Double =
        if (ownRunning > 0 && now - stepMeasuredAt <= STEP_VALID_SECONDS.seconds) observedStep else 0.0

    /** A sequence on the engine got [tokens] tokens within [seconds]. */
    fun recordStep(tokens: Int, seconds: Double, now: Moment) {
        val step = seconds * MILLIS / tokens
        val gain = if (stepMillis(now) > 0) STEP_GAIN else 1.0
        observedStep += (step - observedStep) * gain
        stepMeasuredAt = now
    }

    fun prefillAdded(tokens: Int, now: Moment) {
        sent++
        ownPrefill += tokens
        recordHistory(now)
    }

    fun prefillRemoved(tokens: Int, now: Moment) {
        ownPrefill = maxOf(0, ownPrefill - tokens)
        recordHistory(now)
    }

    fun decodeAdded(tokens: Int, now: Moment) {
        ownRunning++
        ownKv += tokens
        recordHistory(now)
    }

    fun decodeRemoved(tokens: Int, now: Moment) {
        ownRunning = maxOf(0, ownRunning - 1)
        ownKv = maxOf(0, ownKv - tokens)
        recordHistory(now)
    }

    /** Applies [next] unless a newer report of the same incarnation arrived before. */
    fun reported(next: EngineLoadReport, now: Moment) {
        val last = report
        if (last != null && last.incarnation == next.incarnation && last.sequence >= next.sequence) return
        if (last != null && last.incarnation != next.incarnation) resetHistory()
        report = next
        reportedAt = now
        val own = ownLoadAt(next, now)
        otherPrefill = maxOf(0, next.queuedPromptTokens - (own?.prefill ?: 0))
        otherPrefillMean += (otherPrefill - otherPrefillMean) * MEAN_GAIN
        otherRunning = maxOf(0, next.runningRequests - (own?.running ?: 0))
        otherKv = maxOf(0, next.kvTokensUsed - (own?.kv ?: 0))
    }

    /**
     * This node's own load when [next] was made: by the engine's count of attempts if only this node sends there,
     * otherwise by the assumed report lag.
     */
    private fun ownLoadAt(next: EngineLoadReport, now: Moment): OwnLoad? {
        if (next.knownAttempts in 1..sent) {
            val known = history.lastOrNull { it.sent <= next.knownAttempts }
            if (known != null) return known
        }
        val made = now - settings.reportLagSeconds.seconds
        return history.lastOrNull { it.at <= made } ?: history.firstOrNull()
    }

    /** A new incarnation of the engine counts its attempts from 0. */
    private fun resetHistory() {
        sent = 0
        observedStep = 0.0
        history.clear()
    }

    private fun recordHistory(now: Moment) {
        history.addLast(OwnLoad(now, sent, ownPrefill, ownRunning, ownKv))
        val oldest = now - HISTORY_SECONDS.seconds
        while (history.size > MAX_HISTORY || (history.size > 1 && history[1].at < oldest)) history.removeFirst()
    }

    private companion object {
        const val HISTORY_SECONDS = 10.0
        const val MAX_HISTORY = 512
        const val MILLIS = 1_000.0
        const val STEP_GAIN = 0.2
        const val STEP_VALID_SECONDS = 1.5
        const val MEAN_GAIN = 0.02
        const val MAX_UNPRIORITIZED_SHARE = 0.85

        /** Shares of the limit on the time between tokens, above which an engine gets no further prefill or decode. */
        const val MAX_MIXED_SHARE = 0.75
        const val MAX_DECODE_SHARE = 0.9
    }
}
