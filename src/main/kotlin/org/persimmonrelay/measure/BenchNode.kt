package org.persimmonrelay.measure

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.entry.AccessControl
import org.persimmonrelay.entry.EntryDependencies
import org.persimmonrelay.entry.EntryServer
import org.persimmonrelay.entry.EntrySettings
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.once.CallOutcome
import org.persimmonrelay.once.IdempotencyClaim
import org.persimmonrelay.once.IdempotencyManager
import org.persimmonrelay.once.IdempotentResult
import org.persimmonrelay.outcome.Refusal
import org.persimmonrelay.routing.RoundRobinDispatcher
import org.persimmonrelay.timeline.EventSink
import org.persimmonrelay.usage.UsageMeter
import kotlin.time.Duration

/** The entry server of a node in front of one engine; its other dependencies are minimal or do nothing. */
internal class BenchNode(engineAddress: String, engine: EngineClient) {
    private val catalog = BenchCatalog(engineAddress)
    private val entry =
        EntryServer(
            EntrySettings(),
            EntryDependencies(
                incarnation = Incarnation("bench"),
                clock = SystemClock,
                access = AccessControl(catalog, catalog, catalog),
                engine = engine,
                once = NoIdempotency,
                usage = NoUsage,
                events = EventSink.NONE,
                registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
                dispatcherFactory = { RoundRobinDispatcher() },
            ),
        )

    /** Number of requests in progress. */
    val openRequests: Int get() = entry.openRequests

    /** Starts the server; returns its port. */
    suspend fun start(): Int = entry.start()

    suspend fun stop() = entry.stop(Duration.ZERO)
}

private object NoIdempotency : IdempotencyManager {
    override suspend fun run(claim: IdempotencyClaim, call: suspend () -> CallOutcome): IdempotentResult =
        IdempotentResult.Refused(Refusal.OutcomeUnknown("The benchmark has no plain services."))
}

private object NoUsage : UsageMeter {
    override fun record(workspace: WorkspaceId, promptTokens: Long, outputTokens: Long) = Unit
}
