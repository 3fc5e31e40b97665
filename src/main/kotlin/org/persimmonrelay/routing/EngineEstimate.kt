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
 * What this node believes of one engine's load: its own work there, which it knows exactly, plus that of other
 * nodes, which it takes from load reports by subtracting what it had there itself when the report was made.
 */
internal class EngineEstimate(
    var server: BackendServerConfig,
    private val settings: RoutingSettings,
    private val waits: WaitModel,
    private val ledger: FairShareLedger,
    since: Moment,
) {
    private class Past(val at: Moment, val sent: Long, val prefill: Long, val running: Int, val kv: Long)

    val id = ServerId(server.name)
    val seed: Long = PrefixDirectory.mix(server.name.hashCode().toLong())
    private val profile: EngineProfile = settings.engine
    private val history = ArrayDeque<Past>()
    private var sent = 0L
    private var ownPrefill = 0L
    private var ownRunning = 0
    private var ownKv = 0L
    private var otherPrefill = 0L
    private var otherPrefillMean = 0.0
    private var observedStep = 0.0
    private var steppedAt = since
    private var otherRunning = 0
    private var otherKv = 0L
    private var reportedAt = since
    private var report: EngineLoadReport? = null

    val role: EngineRole
        get() = report?.role ?: server.role

    /** When the last report came, or the engine was first seen. */
    val heardAt: Moment
        get() = reportedAt

    val draining: Boolean
        get() = server.drain || (report?.draining ?: false)

    /** Sequences being decoded or about to be. */
    val running: Int
        get() = ownRunning + otherRunning

    val kvUsed: Long
        get() = ownKv + otherKv

    private val kvTotal: Long
        get() = report?.kvTokensTotal?.takeIf { it > 0 } ?: profile.kvTokens

    fun canPrefill(): Boolean = role != EngineRole.DECODE

    fun canDecode(): Boolean = role != EngineRole.PREFILL

    /** Seconds until the engine would begin with a further prompt. */
    fun prefillWait(): Double {
        val others = waits.trust * otherPrefill + (1 - waits.trust) * otherPrefillMean
        return (ownPrefill + others) / profile.prefillRate(role, running)
    }

    /** The wait as the last report and as the usual report make it. */
    fun predictWait(): WaitPrediction {
        val rate = profile.prefillRate(role, running)
        return WaitPrediction((ownPrefill + otherPrefill) / rate, (ownPrefill + otherPrefillMean) / rate)
    }

    fun prefillSeconds(tokens: Int): Double = tokens / profile.prefillRate(role, running)

    /**
     * Room to take a further prompt. What this node has unread there, which it knows without delay, is bounded by
     * its own part of the engine's work; so the engine's queue stays bounded however many nodes there are.
     */
    fun hasPrefillRoom(now: Moment): Boolean {
        if (prefillWait() > settings.engineQueueSeconds) return false
        if (role == EngineRole.MIXED && stepMillis(now) > settings.betweenTokensMillis * MIXED_MOST) return false
        if (ownPrefill == 0L) return true
        return ownPrefill <= ledger.part * settings.engineQueueSeconds * profile.prefillRate(role, running)
    }

    /**
     * Room to decode a further sequence of [tokens] in all. Near the engine's limit a node keeps to its part, lest
     * all nodes go for the same room at once when a report shows it; what is left there is for the [favoured].
     */
    fun hasDecodeRoom(tokens: Int, favoured: Boolean, now: Moment): Boolean {
        if (stepMillis(now) > settings.betweenTokensMillis * DECODE_MOST) return false
        val part = ledger.part
        val most = if (favoured) 1.0 else NEAR_LIMIT
        val sequences = ownRunning + 1 <= part * profile.maxRunning || running + 1 <= most * profile.maxRunning
        return sequences && (ownKv + tokens <= part * kvTotal || kvUsed + tokens <= most * kvTotal)
    }

    /** Expected seconds between tokens with one more sequence. */
    fun stepSeconds(now: Moment): Double = maxOf(profile.stepSeconds(running + 1, 0), stepMillis(now) / MILLIS)

    /** Time between tokens as this node's own sequences had it just now; 0 when they say nothing. */
    private fun stepMillis(now: Moment): Double =
        if (ownRunning > 0 && now - steppedAt <= STEP_VALID_SECONDS.seconds) observedStep else 0.0

    /** A sequence here got [tokens] tokens within [seconds]. */
    fun stepped(tokens: Int, seconds: Double, now: Moment) {
        val step = seconds * MILLIS / tokens
        val gain = if (stepMillis(now) > 0) STEP_GAIN else 1.0
        observedStep += (step - observedStep) * gain
        steppedAt = now
    }

    fun prefillAdded(tokens: Int, now: Moment) {
        sent++
        ownPrefill += tokens
        remember(now)
    }

    fun prefillRemoved(tokens: Int, now: Moment) {
        ownPrefill = maxOf(0, ownPrefill - tokens)
        remember(now)
    }

    fun decodeAdded(tokens: Int, now: Moment) {
        ownRunning++
        ownKv += tokens
        remember(now)
    }

    fun decodeRemoved(tokens: Int, now: Moment) {
        ownRunning = maxOf(0, ownRunning - 1)
        ownKv = maxOf(0, ownKv - tokens)
        remember(now)
    }

    /** Takes [next] in, unless a newer report of the same incarnation came before. */
    fun reported(next: EngineLoadReport, now: Moment) {
        val last = report
        if (last != null && last.incarnation == next.incarnation && last.sequence >= next.sequence) return
        if (last != null && last.incarnation != next.incarnation) restarted()
        report = next
        reportedAt = now
        val then = pastOf(next, now)
        otherPrefill = maxOf(0, next.queuedPromptTokens - (then?.prefill ?: 0))
        otherPrefillMean += (otherPrefill - otherPrefillMean) * MEAN_GAIN
        otherRunning = maxOf(0, next.runningRequests - (then?.running ?: 0))
        otherKv = maxOf(0, next.kvTokensUsed - (then?.kv ?: 0))
    }

    /** This node's own work at the time of [next]: told by the count of attempts, if only this node sends. */
    private fun pastOf(next: EngineLoadReport, now: Moment): Past? {
        if (next.knownAttempts in 1..sent) {
            val known = history.lastOrNull { it.sent <= next.knownAttempts }
            if (known != null) return known
        }
        val made = now - settings.reportLagSeconds.seconds
        return history.lastOrNull { it.at <= made } ?: history.firstOrNull()
    }

    /** A new incarnation counts its attempts from 0. */
    private fun restarted() {
        sent = 0
        observedStep = 0.0
        history.clear()
    }

    private fun remember(now: Moment) {
        history.addLast(Past(now, sent, ownPrefill, ownRunning, ownKv))
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
        const val NEAR_LIMIT = 0.85

        /** Shares of the bound between tokens beyond which an engine reads or writes for no further request. */
        const val MIXED_MOST = 0.75
        const val DECODE_MOST = 0.9
    }
}
