package org.persimmonrelay.fleet.plan

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineProfile
import org.persimmonrelay.routing.Demand
import kotlin.math.exp
import kotlin.time.DurationUnit

/** Expected work per second, in engine seconds of an engine at full efficiency, and the share of it that is prefill. */
public data class ExpectedMix(val work: Double, val promptShare: Double)

/**
 * Forecasts the mix of prefill and decode work from a fast and a slow moving average. Both lag behind a linear trend by
 * their time constants, so their difference gives the slope, by which the mix is extrapolated. Not thread-safe.
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
        fun movedTowards(next: Work, gain: Double) =
            Work(prompt + (next.prompt - prompt) * gain, output + (next.output - output) * gain)

        fun dividedBy(weight: Double) = Work(prompt / weight, output / weight)
    }

    /** Records the [demand] on all nodes since the last call. */
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
        fast = fast.movedTowards(rate, fastGain)
        slow = slow.movedTowards(rate, slowGain)
        weightFast += (1 - weightFast) * fastGain
        weightSlow += (1 - weightSlow) * slowGain
    }

    /** The expected mix [ahead] seconds after the last observation; null before enough was observed. */
    public fun expected(ahead: Double): ExpectedMix? {
        if (weightSlow < MIN_WEIGHT || !ratios.isKnown) return null
        val fastRate = fast.dividedBy(weightFast)
        val slowRate = slow.dividedBy(weightSlow)
        val extrapolation = (settings.fastSeconds + ahead) / (settings.slowSeconds - settings.fastSeconds)
        val promptTokens = maxOf(0.0, fastRate.prompt + (fastRate.prompt - slowRate.prompt) * extrapolation)
        val outputLimit = maxOf(0.0, fastRate.output + (fastRate.output - slowRate.output) * extrapolation)
        val prompt = promptTokens * ratios.prefillShare * profile.prefillCost
        val output = outputLimit * ratios.generatedShare * profile.decodeCost
        val work = prompt + output
        return if (work > 0) ExpectedMix(work, prompt / work) else null
    }

    private companion object {
        const val MIN_WEIGHT = 0.4
    }
}
