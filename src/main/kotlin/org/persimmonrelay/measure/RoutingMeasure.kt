package org.persimmonrelay.measure

import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineRole
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
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/** Processor time of one routing decision, from arrival to the end of the attempt, by the number of engines. */
public class RoutingMeasure : Measure {
    override val name: String = "routing"

    override fun run(): List<Slope> = listOf(
        Slope.fit(
            "routing decision",
            "CPU ns",
            "engine",
            SIZES.flatMap { size ->
                List(REPEATS) { reading(size) }
            },
        ),
    )

    private fun reading(size: Int): MeasurePoint {
        val load = Load(size)
        load.runRequests(WARM_UP)
        val used = CpuGauge.ofThread { load.runRequests(REQUESTS) }
        return MeasurePoint(size.toDouble(), used.inWholeNanoseconds.toDouble() / REQUESTS)
    }

    private class Load(size: Int) {
        private val random = Random(size)
        private val dispatcher = ExpectedTimeDispatcher(RoutingSettings(region = "region-0"), random)
        private var now = Moment.ZERO
        private var count = 0

        init {
            val servers =
                List(size) {
                    BackendServerConfig("engine-$it", address = "10.0.0.1:8000", domain = "a", region = "region-0")
                }
            dispatcher.on(DispatchEvent.ServersChanged(servers), now)
            servers.forEach { dispatcher.on(DispatchEvent.Reported(idle(it.name)), now) }
        }

        fun runRequests(times: Int) = repeat(times) {
            now += 100.microseconds
            val request = request()
            val started = dispatcher.on(DispatchEvent.Arrived(request), now).filterIsInstance<DispatchAction.Start>()
            started.forEach { dispatcher.on(DispatchEvent.Ended(it.id, it.placement.decode, AttemptEnd.DONE), now) }
        }

        private fun request() = DispatchRequest(
            id = RequestId("r${count++}"),
            workspace = WorkspaceId("workspace-${count % WORKSPACES}"),
            weight = 1,
            promptTokens = PROMPT_TOKENS,
            maxOutputTokens = OUTPUT_TOKENS,
            prefixBlocks = LongArray(BLOCKS) { (count % PREFIXES).toLong() * BLOCKS + it },
            priority = 0,
            firstTokenBy = now + 2.seconds,
        )

        private fun idle(server: String) = EngineLoadReport(
            server = ServerId(server),
            incarnation = "boot",
            sequence = 1,
            role = EngineRole.MIXED,
            models = emptyList(),
            queuedPromptTokens = 0,
            runningRequests = 0,
            remainingOutputTokens = 0,
            kvTokensUsed = 0,
            kvTokensTotal = KV_TOKENS,
        )
    }

    private companion object {
        val SIZES = listOf(8, 32, 128, 512)
        const val REPEATS = 3
        const val WARM_UP = 20_000
        const val REQUESTS = 10_000
        const val WORKSPACES = 100
        const val PROMPT_TOKENS = 1_000
        const val OUTPUT_TOKENS = 200
        const val BLOCKS = 8
        const val PREFIXES = 500
        const val KV_TOKENS = 400_000L
    }
}
