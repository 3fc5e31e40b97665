package org.persimmonrelay.forward

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Metrics of forwarding: requests and attempts by outcome, time to the first part of the response and to its end. */
public class ForwardMetrics(private val registry: MeterRegistry) {
    private val firstPart = timer("persimmonrelay.forward.first", "Arrival to the first part handed to the caller")
    private val total = timer("persimmonrelay.forward.whole", "Arrival to the end of the answer")

    internal fun firstPart(after: Duration) = firstPart.record(after.toJavaDuration())

    internal fun ended(outcome: String, after: Duration) {
        total.record(after.toJavaDuration())
        registry.counter("persimmonrelay.forward.requests", "outcome", outcome).increment()
    }

    /** An attempt ended with [outcome]; [isOverdue] if its response was overdue before. */
    internal fun attempt(outcome: AttemptOutcome, isOverdue: Boolean) {
        val end = when (outcome) {
            is AttemptOutcome.Delivered -> "delivered"
            is AttemptOutcome.Prefilled -> "prompt-read"
            is AttemptOutcome.NotRun -> "not-run"
            is AttemptOutcome.Failed -> "failed"
        }
        attemptEnded(end, isOverdue)
    }

    /** An attempt was ended because another one goes on; [isOverdue] if its response was overdue. */
    internal fun attemptReplaced(isOverdue: Boolean) = attemptEnded("replaced", isOverdue)

    /** A backend server has said in a response that it leaves. */
    internal fun serverLeavingHeard() = registry.counter("persimmonrelay.forward.servers.leaving").increment()

    private fun attemptEnded(end: String, isOverdue: Boolean) =
        registry.counter("persimmonrelay.forward.attempts", "end", end, "overdue", "$isOverdue").increment()

    private fun timer(name: String, description: String) =
        Timer.builder(name).description(description).publishPercentileHistogram().register(registry)
}
