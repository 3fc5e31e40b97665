package org.persimmonrelay.entry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.persimmonrelay.outcome.Refusal
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Metrics of the entry. The number of values of the label `workspace` is limited. */
internal class EntryMetrics(private val registry: MeterRegistry, labelledWorkspaces: Int, requests: OpenRequests) {
    private val labels = WorkspaceLabels(labelledWorkspaces)
    private val tokens = ConcurrentHashMap<TokenKey, Counter>()
    private val outcomes = ConcurrentHashMap<String, Counter>()
    private val firstToken =
        Timer
            .builder("persimmonrelay.first.token")
            .description("Time from a request's arrival to the first token handed to its caller")
            .publishPercentileHistogram()
            .register(registry)

    init {
        Gauge
            .builder("persimmonrelay.requests.open", requests) { it.count.toDouble() }
            .description("Requests in hand")
            .register(registry)
    }

    fun firstToken(after: Duration) = firstToken.record(after.toJavaDuration())

    fun completed() = outcome("completed")

    fun cancelled() = outcome("cancelled")

    fun refused(refusal: Refusal) = when (refusal) {
        is Refusal.NotRun -> outcome(refusal.reason.name.lowercase())
        is Refusal.OutcomeUnknown -> outcome("outcome_unknown")
    }

    fun tokens(workspace: String, promptTokens: Int, outputTokens: Int) {
        val label = labels.of(workspace)
        counter(TokenKey(label, "prompt")).increment(promptTokens.toDouble())
        counter(TokenKey(label, "output")).increment(outputTokens.toDouble())
    }

    private fun outcome(name: String) =
        outcomes.computeIfAbsent(name) { registry.counter("persimmonrelay.requests", "outcome", it) }.increment()

    private fun counter(key: TokenKey) = tokens.computeIfAbsent(key) {
        registry.counter("persimmonrelay.tokens", "workspace", it.workspace, "kind", it.kind)
    }

    private data class TokenKey(val workspace: String, val kind: String)
}
