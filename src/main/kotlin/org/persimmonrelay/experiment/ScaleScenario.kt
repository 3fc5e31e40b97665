/*
 * Processing time of routing decisions at the size expected within two years: one deployment on all 1,300 servers,
 * 18,000 active workspaces, and one node's share of the traffic. Unlike the other scenarios this one measures real
 * time.
 */
package org.persimmonrelay.experiment

import org.HdrHistogram.Histogram
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.clock.SystemClock
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.fairness.FairShareLedger
import org.persimmonrelay.fairness.ShareEntry
import org.persimmonrelay.fairness.ShareSummary
import org.persimmonrelay.identity.DeploymentId
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.routing.AttemptEnd
import org.persimmonrelay.routing.DispatchAction
import org.persimmonrelay.routing.DispatchEvent
import org.persimmonrelay.routing.DispatchRequest
import org.persimmonrelay.routing.ExpectedTimeDispatcher
import org.persimmonrelay.routing.RoutingSettings
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

internal class ScaleScenario(private val seed: Long) {
    private val random = Random(seed)
    private val ledger = FairShareLedger()
    private val dispatcher = ExpectedTimeDispatcher(RoutingSettings(region = "region-0"), random, ledger)
    private val decisions = Histogram(SIGNIFICANT_DIGITS)
    private val reports = Histogram(SIGNIFICANT_DIGITS)
    private val progress = Histogram(SIGNIFICANT_DIGITS)
    private val gossip = Histogram(SIGNIFICANT_DIGITS)
    private val summaries = Histogram(SIGNIFICANT_DIGITS)
    private var sequence = 0L
    private var now = momentAt(0.0)

    fun run(): ScenarioReport {
        dispatcher.on(DispatchEvent.ServersChanged(servers()), now)
        repeat(WARM_UP_ROUNDS) { simulateSecond() }
        listOf(decisions, reports, progress, gossip, summaries).forEach { it.reset() }
        repeat(ROUNDS) { simulateSecond() }
        val nanosPerSecond = REQUESTS_PER_NODE * (decisions.mean + progress.mean * PROGRESS_PER_REQUEST) +
            REPORTS_PER_SECOND * reports.mean + gossip.mean * SAME_REGION_PEERS + summaries.mean
        val details =
            mapOf(
                "decision_p99_us" to decisions.getValueAtPercentile(P99) / NANOS_PER_MICRO,
                "decision_mean_us" to decisions.mean / NANOS_PER_MICRO,
                "report_mean_us" to reports.mean / NANOS_PER_MICRO,
                "progress_mean_us" to progress.mean / NANOS_PER_MICRO,
                "gossip_mean_us" to gossip.mean / NANOS_PER_MICRO,
                "summary_mean_us" to summaries.mean / NANOS_PER_MICRO,
                "control_share_of_core" to nanosPerSecond / NANOS_PER_SECOND,
            )
        val targets =
            listOf(
                TargetReport("decision_p99_us", details.getValue("decision_p99_us"), atMost = MAX_DECISION_MICROS),
                TargetReport(
                    "control_share_of_core",
                    details.getValue("control_share_of_core"),
                    atMost = MAX_CORE_SHARE,
                ),
            )
        return ScenarioReport(Scenario.SCALE.title, seed, emptyMap(), targets, details)
    }

    /** Simulates one second of a node's events, with many times the node's share of the requests. */
    private fun simulateSecond() {
        now += 1.seconds
        val running = ArrayList<DispatchAction.Start>()
        repeat(DECISIONS_PER_ROUND) { decide(running) }
        running.forEach(::finishRequest)
        repeat(REPORTS_PER_SECOND) { timeEvent(reports, DispatchEvent.Reported(report())) }
        timeSummary()
        repeat(PEERS_SAMPLED) { timeEvent(gossip, DispatchEvent.PeerConsumed(peerSummary(it))) }
    }

    private fun timeSummary() {
        val before = SystemClock.now()
        ledger.summary(NodeId("self"), Incarnation("1"), DEPLOYMENT, now)
        summaries.recordValue((SystemClock.now() - before).inWholeNanoseconds)
    }

    private fun decide(running: MutableList<DispatchAction.Start>) {
        val event = DispatchEvent.Arrived(request())
        running += timeEvent(decisions, event).filterIsInstance<DispatchAction.Start>()
    }

    private fun finishRequest(start: DispatchAction.Start) {
        timeEvent(progress, DispatchEvent.Progressed(start.id, 1, 0))
        timeEvent(progress, DispatchEvent.Progressed(start.id, OUTPUT_TOKENS, 0))
        timeEvent(progress, DispatchEvent.Ended(start.id, start.placement.decode, AttemptEnd.DONE))
    }

    private fun timeEvent(histogram: Histogram, event: DispatchEvent): List<DispatchAction> {
        val before = SystemClock.now()
        val actions = dispatcher.on(event, now)
        histogram.recordValue((SystemClock.now() - before).inWholeNanoseconds)
        return actions
    }

    private fun request() = DispatchRequest(
        id = RequestId("request-${sequence++}"),
        workspace = WorkspaceId("workspace-${random.nextInt(WORKSPACES)}"),
        weight = 1,
        promptTokens = PROMPT_TOKENS,
        maxOutputTokens = OUTPUT_TOKENS,
        prefixBlocks = LongArray(PREFIX_BLOCKS) { random.nextLong() },
        priority = 0,
        firstTokenBy = now + FIRST_TOKEN_SECONDS.seconds,
    )

    private fun report(): EngineLoadReport = EngineLoadReport(
        server = ServerId("server-${random.nextInt(SERVERS)}"),
        incarnation = "1",
        sequence = sequence++,
        role = EngineRole.MIXED,
        models = listOf("model"),
        queuedPromptTokens = random.nextLong(MAX_QUEUED_TOKENS),
        runningRequests = random.nextInt(MAX_RUNNING),
        remainingOutputTokens = 0,
        kvTokensUsed = 0,
        kvTokensTotal = KV_TOKENS,
        knownAttempts = sequence,
    )

    private fun peerSummary(peer: Int): ShareSummary {
        val entries =
            List(SUMMARY_ENTRIES) {
                ShareEntry(
                    workspace = WorkspaceId("workspace-${random.nextInt(WORKSPACES)}"),
                    weight = 1,
                    cost = ENTRY_COST,
                    tokens = OUTPUT_TOKENS.toLong(),
                    running = 1,
                    demand = ENTRY_DEMAND,
                )
            }
        return ShareSummary(
            node = NodeId("node-$peer"),
            incarnation = Incarnation("1"),
            sequence = sequence++,
            deployment = DEPLOYMENT,
            top = entries,
            restDemand = 0.0,
            served = 1.0,
        )
    }

    private fun servers(): List<BackendServerConfig> = List(SERVERS) { index ->
        BackendServerConfig(
            name = "server-$index",
            address = "127.0.0.1:1",
            domain = "domain-${index % DOMAINS}",
            region = "region-${index % REGIONS}",
        )
    }

    private companion object {
        const val SERVERS = 1_300
        const val WORKSPACES = 18_000
        const val DOMAINS = 20
        const val REGIONS = 8
        const val DECISIONS_PER_ROUND = 500
        const val WARM_UP_ROUNDS = 60
        const val ROUNDS = 60

        /** 1,800 requests a second over 370 nodes. */
        const val REQUESTS_PER_NODE = 1_800.0 / 370

        /** 530,000 tokens a second are 295 per request; progress is reported every 16 tokens. */
        const val PROGRESS_PER_REQUEST = 295 / 16

        /** All engines report once a second. */
        const val REPORTS_PER_SECOND = 1_300

        /** Nodes of the same region; each sends a usage summary once a second. */
        const val SAME_REGION_PEERS = 46
        const val PEERS_SAMPLED = 46
        const val SUMMARY_ENTRIES = 32
        const val ENTRY_COST = 0.2
        const val ENTRY_DEMAND = 0.1
        const val MAX_DECISION_MICROS = 20.0
        const val MAX_CORE_SHARE = 0.02
        const val PROMPT_TOKENS = 1_000
        const val OUTPUT_TOKENS = 295
        const val PREFIX_BLOCKS = 4
        const val FIRST_TOKEN_SECONDS = 0.36
        const val MAX_QUEUED_TOKENS = 2_000L
        const val MAX_RUNNING = 40
        const val KV_TOKENS = 128_000L
        const val SIGNIFICANT_DIGITS = 3
        const val P99 = 99.0
        const val NANOS_PER_MICRO = 1_000.0
        const val NANOS_PER_SECOND = 1e9
        val DEPLOYMENT = DeploymentId("deployment")
    }
}
