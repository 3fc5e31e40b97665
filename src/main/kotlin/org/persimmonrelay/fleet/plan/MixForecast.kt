package org.persimmonrelay.fleet.plan

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.routing.Demand
import kotlin.math.exp
import kotlin.time.DurationUnit

/** Expected work per second, in engine seconds at best, and the share of it that is prefill. */
public data class ExpectedMix(val work: Double, val promptShare: Double)

/**
 * Follows the mix by a fast and a slow average. Both lag behind a steady trend by their time constants, so
 * their difference gives the slope and the mix can be told a little ahead. Not thread-safe.
 */
public class MixForecast(private val settings: RoleSettings, private val profile: EngineProfile) {
    private val ratios = WorkRatios()
    private var fast = Work(0.0, 0.0)
    private var slow = Work(0.0, 0.0)
    private var weightFast = 0.0
    private var weightSlow = 0.0
    private var last: Moment? = null

    /** Prompt tokens and allowed output tokens per second. */
    private class Work(val prompt: Double, val output: Double) {
        fun toward(next: Work, gain: Double) =
            Work(prompt + (next.prompt - prompt) * gain, output + (next.output - output) * gain)

        fun over(weight: Double) = Work(prompt / weight, output / weight)
    }

    /** Takes the [demand] of all nodes since the last call. */
    public fun observe(demand: Demand, now: Moment) {
        val before = last
        last = now
        if (before == null) return
        val seconds = (now - before).toDouble(DurationUnit.SECONDS)
        if (seconds <= 0) return
        val rate = Work(demand.promptTokens / seconds, demand.outputLimit / seconds)
        ratios.observe(demand, seconds)
        val fastGain = 1 - exp(-seconds / settings.fastSeconds)
        val slowGain = 1 - exp(-seconds / settings.slowSeconds)
        fast = fast.toward(rate, fastGain)
        slow = slow.toward(rate, slowGain)
        weightFast += (1 - weightFast) * fastGain
        weightSlow += (1 - weightSlow) * slowGain
    }

    /** The mix [ahead] seconds from now, or null before enough was seen. */
    public fun expected(ahead: Double): ExpectedMix? {
        if (weightSlow < MIN_WEIGHT || !ratios.known) return null
        val near = fast.over(weightFast)
        val far = slow.over(weightSlow)
        val reach = (settings.fastSeconds + ahead) / (settings.slowSeconds - settings.fastSeconds)
        val promptTokens = maxOf(0.0, near.prompt + (near.prompt - far.prompt) * reach)
        val outputLimit = maxOf(0.0, near.output + (near.output - far.output) * reach)
        val prompt = promptTokens * ratios.readShare * profile.prefillCost
        val output = outputLimit * ratios.writtenShare * profile.decodeCost
        val work = prompt + output
        return if (work > 0) ExpectedMix(work, prompt / work) else null
    }

    private companion object {
        const val MIN_WEIGHT = 0.4
    }
}
