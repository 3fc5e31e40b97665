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

/** Random events against the dispatcher; the laws are checked after each. */
class ExpectedTimeDispatcherPropertyTest {
    private class World(seed: Long) {
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
    fun `the laws hold over random events`(@ForAll seed: Long) {
        val world = World(seed)
        changeServers(world)
        repeat(300) { step(world) }
    }

    @Property(seed = "32", tries = 60)
    fun `nothing waits while all engines are idle`(@ForAll seed: Long) {
        val world = World(seed)
        world.servers = listOf(server(0, EngineRole.MIXED, false), server(1, EngineRole.MIXED, false))
        world.send(DispatchEvent.ServersChanged(world.servers))
        repeat(200) {
            arrive(world)
            world.running.keys.toList().take(world.random.nextInt(3)).forEach { finish(world, it) }
            assertTrue(world.waiting.isEmpty() || world.running.isNotEmpty())
        }
    }

    private fun step(world: World) {
        world.now += world.random.nextInt(200).milliseconds
        when (world.random.nextInt(8)) {
            0, 1, 2 -> arrive(world)
            3 -> world.running.keys.randomOrNull(world.random)?.let { world.send(DispatchEvent.Progressed(it, 1, 0)) }
            4 -> world.running.keys.randomOrNull(world.random)?.let { finish(world, it) }
            5 -> world.running.keys.randomOrNull(world.random)?.let { fail(world, it) }
            6 -> changeServers(world)
            else -> world.send(DispatchEvent.Woken)
        }
    }

    private fun arrive(world: World) {
        val request = request(world)
        world.requests[request.id] = request
        world.waiting += request.id
        world.send(DispatchEvent.Arrived(request))
    }

    private fun finish(world: World, id: RequestId) {
        val placement = world.running.remove(id) ?: return
        world.send(DispatchEvent.Ended(id, placement.decode, AttemptEnd.DONE))
    }

    private fun fail(world: World, id: RequestId) {
        val placement = world.running.remove(id) ?: return
        world.send(DispatchEvent.Ended(id, placement.prefill, AttemptEnd.ENGINE_FAILED))
        world.waiting += id
        val attempt = world.attempts.getValue(id)
        val again = DispatchEvent.Arrived(world.requests.getValue(id), 0, attempt, placement.prefill)
        world.send(again)
    }

    private fun changeServers(world: World) {
        world.servers =
            (0 until world.random.nextInt(7)).map {
                server(it, EngineRole.entries.random(world.random), world.random.nextInt(4) == 0)
            }
        world.send(DispatchEvent.ServersChanged(world.servers))
    }

    private fun server(index: Int, role: EngineRole, drain: Boolean) = BackendServerConfig(
        name = "s$index",
        address = "127.0.0.1:1",
        domain = "d${index % 2}",
        region = "r${index % 2}",
        role = role,
        drain = drain,
    )

    private fun request(world: World) = DispatchRequest(
        id = RequestId("r${world.requests.size}"),
        workspace = WorkspaceId("w${world.random.nextInt(4)}"),
        weight = 1 + world.random.nextInt(3),
        promptTokens = 1 + world.random.nextInt(6_000),
        maxOutputTokens = 1 + world.random.nextInt(500),
        prefixBlocks = LongArray(world.random.nextInt(5)) { world.random.nextLong(20) },
        priority = world.random.nextInt(2),
        firstTokenBy = world.now + 2.seconds,
    )
}
