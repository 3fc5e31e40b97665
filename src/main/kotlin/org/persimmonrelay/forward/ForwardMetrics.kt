package org.persimmonrelay.forward

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** What forwarding counts: ends by outcome, attempts by end, and the times to the first part and to the end. */
public class ForwardMetrics(private val registry: MeterRegistry) {
    private val firstPart = timer("persimmonrelay.forward.first", "Arrival to the first part handed to the caller")
    private val whole = timer("persimmonrelay.forward.whole", "Arrival to the end of the answer")

    internal fun firstPart(after: Duration) = firstPart.record(after.toJavaDuration())

    internal fun ended(outcome: String, after: Duration) {
        whole.record(after.toJavaDuration())
        registry.counter("persimmonrelay.forward.requests", "outcome", outcome).increment()
    }

    internal fun attempt(end: AttemptEnd) {
        val kind = when (end) {
            is AttemptEnd.Delivered -> "delivered"
            is AttemptEnd.PromptRead -> "prompt-read"
            is AttemptEnd.NotRun -> "not-run"
            is AttemptEnd.Failed -> "failed"
        }
        registry.counter("persimmonrelay.forward.attempts", "end", kind).increment()
    }

    private fun timer(name: String, description: String) =
        Timer.builder(name).description(description).publishPercentileHistogram().register(registry)
}
