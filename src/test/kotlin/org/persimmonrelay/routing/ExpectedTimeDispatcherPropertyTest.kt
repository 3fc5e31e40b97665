package org.persimmonrelay.routing

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.identity.WorkspaceId
import kotlin.random.Random
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends random events to the dispatcher and checks the invariants after each. */
class ExpectedTimeDispatcherPropertyTest {
    private class State(seed: Long) {
        val random = Random(seed)
        val dispatcher = ExpectedTimeDispatcher(RoutingSettings(region = "r0"), Random(seed))
        val requests = HashMap<RequestId, DispatchRequest>()
        val running = LinkedHashMap<RequestId, EnginePlacement>()
        val attempts = HashMap<RequestId, Int>()
        val waiting = HashSet<RequestId>()
        var servers: List<BackendServerConfig> = emptyList()
        var now = Moment.ZERO

        fun send(event: DispatchEvent) = dispatcher.on(event, now).forEach(::check)

        private fun check(action: DispatchAction) {
            when (action) {
                is DispatchAction.Start -> started(action)
                is DispatchAction.Refuse -> {
                    assertFalse(action.id in attempts, "refused as not run after a start")
                    assertTrue((action.refusal.retryAfter ?: 0.seconds) >= 1.seconds)
                    waiting -= action.id
                }
                is DispatchAction.Abandon -> {
                    assertTrue(action.id in attempts)
                    waiting -= action.id
                }
                is DispatchAction.WakeAt -> assertTrue(action.moment >= now)
            }
        }

        private fun started(action: DispatchAction.Start) {
            val placement = action.placement
            val prefill = servers.first { it.name == placement.prefill.value }
            val decode = servers.first { it.name == placement.decode.value }
            assertFalse(prefill.drain || decode.drain, "placed on a draining server")
            assertTrue(prefill.role != EngineRole.DECODE && decode.role != EngineRole.PREFILL)
            assertTrue(prefill.domain == decode.domain)
            assertTrue(waiting.remove(action.id), "started twice")
            attempts.merge(action.id, 1, Int::plus)
            running[action.id] = placement
        }
    }

    @Property(seed = "31", tries = 60)
    fun `invariants hold over random events`(@ForAll seed: Long) {
        val state = State(seed)
        changeServers(state)
        repeat(300) { step(state) }
    }

    @Property(seed = "32", tries = 60)
    fun `no request waits while all engines are idle`(@ForAll seed: Long) {
        val state = State(seed)
        state.servers = listOf(server(0, EngineRole.MIXED, false), server(1, EngineRole.MIXED, false))
        state.send(DispatchEvent.ServersChanged(state.servers))
        repeat(200) {
            arrive(state)
            state.running.keys.toList().take(state.random.nextInt(3)).forEach { finish(state, it) }
            assertTrue(state.waiting.isEmpty() || state.running.isNotEmpty())
        }
    }

    private fun step(state: State) {
        state.now += state.random.nextInt(200).milliseconds
        when (state.random.nextInt(8)) {
            0, 1, 2 -> arrive(state)
            3 -> state.running.keys.randomOrNull(state.random)?.let { state.send(DispatchEvent.Progressed(it, 1, 0)) }
            4 -> state.running.keys.randomOrNull(state.random)?.let { finish(state, it) }
            5 -> state.running.keys.randomOrNull(state.random)?.let { fail(state, it) }
            6 -> changeServers(state)
            else -> state.send(DispatchEvent.Woken)
        }
    }

    private fun arrive(state: State) {
        val request = request(state)
        state.requests[request.id] = request
        state.waiting += request.id
        state.send(DispatchEvent.Arrived(request))
    }

    private fun finish(state: State, id: RequestId) {
        val placement = state.running.remove(id) ?: return
        state.send(DispatchEvent.Ended(id, placement.decode, AttemptEnd.DONE))
    }

    private fun fail(state: State, id: RequestId) {
        val placement = state.running.remove(id) ?: return
        state.send(DispatchEvent.Ended(id, placement.prefill, AttemptEnd.ENGINE_FAILED))
        state.waiting += id
        val attempt = state.attempts.getValue(id)
        val again = DispatchEvent.Arrived(state.requests.getValue(id), 0, attempt, placement.prefill)
        state.send(again)
    }

    private fun changeServers(state: State) {
        state.servers =
            (0 until state.random.nextInt(7)).map {
                server(it, EngineRole.entries.random(state.random), state.random.nextInt(4) == 0)
            }
        state.send(DispatchEvent.ServersChanged(state.servers))
    }

    private fun server(index: Int, role: EngineRole, drain: Boolean) = BackendServerConfig(
        name = "s$index",
        address = "127.0.0.1:1",
        domain = "d${index % 2}",
        region = "r${index % 2}",
        role = role,
        drain = drain,
    )

    private fun request(state: State) = DispatchRequest(
        id = RequestId("r${state.requests.size}"),
        workspace = WorkspaceId("w${state.random.nextInt(4)}"),
        weight = 1 + state.random.nextInt(3),
        promptTokens = 1 + state.random.nextInt(6_000),
        maxOutputTokens = 1 + state.random.nextInt(500),
        prefixBlocks = LongArray(state.random.nextInt(5)) { state.random.nextLong(20) },
        priority = state.random.nextInt(2),
        firstTokenBy = state.now + 2.seconds,
    )
}
