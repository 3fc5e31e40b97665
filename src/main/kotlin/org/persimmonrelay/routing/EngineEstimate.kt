package org.persimmonrelay.routing

import org.persimmonrelay.catalog.BackendServer
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.engine.LoadReport
import org.persimmonrelay.identity.ServerId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What this node believes of one engine's load: its own work there, which it knows exactly, plus that of other
 * nodes, which it takes from load reports by subtracting what it had there itself when the report was made.
 */
internal class EngineEstimate(var server: BackendServer, private val settings: RoutingSettings) {
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
    private var otherRunning = 0
    private var otherKv = 0L
    private var reportedAt = Moment.ZERO
    private var report: LoadReport? = null

    val role: EngineRole
        get() = report?.role ?: server.role

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
    fun prefillWait(now: Moment): Double {
        val rate = profile.prefillRate(role, running)
        val age = (now - reportedAt).toDouble(DurationUnit.SECONDS)
        val others = maxOf(0.0, otherPrefill - rate * age)
        return (ownPrefill + others) / rate
    }

    fun prefillSeconds(tokens: Int): Double = tokens / profile.prefillRate(role, running)

    /** Room to take a further prompt without queueing more than the bound. */
    fun hasPrefillRoom(now: Moment): Boolean = prefillWait(now) <= settings.engineQueueSeconds

    /** Room to decode a further sequence of [tokens] in all. */
    fun hasDecodeRoom(tokens: Int): Boolean = running < profile.maxRunning && kvUsed + tokens <= kvTotal

    /** Expected seconds between tokens with one more sequence. */
    fun stepSeconds(now: Moment): Double {
        val busy = if (role == EngineRole.MIXED) minOf(1.0, prefillWait(now) / BUSY_SECONDS) else 0.0
        return profile.stepSeconds(running + 1, (profile.mixedChunkTokens * busy).toInt())
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
    fun reported(next: LoadReport, now: Moment) {
        val last = report
        if (last != null && last.incarnation == next.incarnation && last.sequence >= next.sequence) return
        if (last != null && last.incarnation != next.incarnation) restarted()
        report = next
        reportedAt = now
        val then = pastOf(next, now)
        otherPrefill = maxOf(0, next.queuedPromptTokens - (then?.prefill ?: 0))
        otherRunning = maxOf(0, next.runningRequests - (then?.running ?: 0))
        otherKv = maxOf(0, next.kvTokensUsed - (then?.kv ?: 0))
    }

    /** This node's own work at the time of [next]: told by the count of attempts, if only this node sends. */
    private fun pastOf(next: LoadReport, now: Moment): Past? {
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
        history.clear()
    }

    private fun remember(now: Moment) {
        history.addLast(Past(now, sent, ownPrefill, ownRunning, ownKv))
        val oldest = now - HISTORY_SECONDS.seconds
        while (history.size > MAX_HISTORY || (history.size > 1 && history[1].at < oldest)) history.removeFirst()
    }

    private companion object {
        /** A prefill backlog of this many seconds keeps a mixed engine reading in every step. */
        const val BUSY_SECONDS = 0.3
        const val HISTORY_SECONDS = 10.0
        const val MAX_HISTORY = 4_096
    }
}
