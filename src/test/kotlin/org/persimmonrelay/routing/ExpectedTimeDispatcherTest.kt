package org.persimmonrelay.routing

import org.persimmonrelay.catalog.BackendServerConfig
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.identity.RequestId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.outcome.NotRunReason
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class ExpectedTimeDispatcherTest {
    private val dispatcher = ExpectedTimeDispatcher(RoutingSettings(region = "r"), Random(1))

    @Test
    fun `a request is refused as not run when all servers drain`() {
        servers(server("a", drain = true))

        val action = arrive("r1").single()

        assertEquals(NotRunReason.NO_SERVER, assertIs<DispatchAction.Refuse>(action).refusal.reason)
    }

    @Test
    fun `a request goes to the engine with the shorter backlog`() {
        servers(server("a"), server("b"))
        dispatcher.on(DispatchEvent.Reported(report("a", queued = 4_000)), NOW)

        val placed = (1..4).map { assertIs<DispatchAction.Start>(arrive("r$it").first()).placement.prefill.value }

        assertTrue(placed.all { it == "b" })
    }

    @Test
    fun `decode after a prefill engine runs on an engine of the same failure domain`() {
        servers(
            server("p", role = EngineRole.PREFILL),
            server("d", role = EngineRole.DECODE),
            server("elsewhere", domain = "d2", role = EngineRole.DECODE),
        )

        val placement = assertIs<DispatchAction.Start>(arrive("r1").first()).placement

        assertEquals(EnginePlacement(ServerId("p"), ServerId("d")), placement)
    }

    @Test
    fun `requests beyond the engines' capacity wait and start when a prefill ends`() {
        servers(server("a"))
        val first = (1..20).flatMap { arrive("r$it", prompt = 2_000) }
        val started = first.filterIsInstance<DispatchAction.Start>()
        assertTrue(started.size in 1..10)

        val actions =
            started.flatMap { dispatcher.on(DispatchEvent.Progressed(it.id, 1, 0), NOW + 1.seconds) }

        assertTrue(actions.any { it is DispatchAction.Start })
    }

    @Test
    fun `a request that can't meet its deadline is refused before it is sent, with a time to retry after`() {
        servers(server("a"))
        val actions = (1..60).flatMap { arrive("r$it", prompt = 2_000) }.toMutableList()
        actions += dispatcher.on(DispatchEvent.Woken, NOW + 3.seconds)

        val refused = actions.filterIsInstance<DispatchAction.Refuse>()
        val started = actions.filterIsInstance<DispatchAction.Start>().map { it.id }.toSet()

        assertTrue(refused.isNotEmpty())
        assertTrue(refused.none { it.id in started })
        refused.forEach { assertTrue(assertNotNull(it.refusal.retryAfter) >= 1.seconds) }
    }

    @Test
    fun `a request retried after an engine failure goes to another failure domain and is not refused as not run`() {
        servers(server("a"), server("b", domain = "d2"))
        val failed = assertIs<DispatchAction.Start>(arrive("r1").first()).placement.prefill
        dispatcher.on(DispatchEvent.Ended(RequestId("r1"), failed, AttemptEnd.ENGINE_FAILED), NOW)

        val again = DispatchEvent.Arrived(request("r1", NOW), outputSoFar = 5, attempt = 1, failedServer = failed)
        val actions = dispatcher.on(again, NOW + 1.seconds) + dispatcher.on(DispatchEvent.Woken, NOW + 2.seconds)

        val start = actions.filterIsInstance<DispatchAction.Start>().single()
        assertNotEquals(failed, start.placement.prefill)
    }

    @Test
    fun `after too many attempts the request ends at once with an unknown outcome`() {
        servers(server("a"))

        val actions = dispatcher.on(DispatchEvent.Arrived(request("r1", NOW), attempt = 9), NOW)

        assertIs<DispatchAction.Abandon>(actions.single())
    }

    private fun servers(vararg servers: BackendServerConfig) {
        dispatcher.on(DispatchEvent.ServersChanged(servers.toList()), NOW)
    }

    private fun arrive(id: String, prompt: Int = 100): List<DispatchAction> =
        dispatcher.on(DispatchEvent.Arrived(request(id, NOW + 2.seconds, prompt)), NOW)

    private fun request(id: String, by: Moment, prompt: Int = 100) = DispatchRequest(
        id = RequestId(id),
        workspace = WorkspaceId("w"),
        weight = 1,
        promptTokens = prompt,
        maxOutputTokens = 100,
        prefixBlocks = LongArray(0),
        priority = 0,
        firstTokenBy = by,
    )

    private fun report(name: String, queued: Long) = EngineLoadReport(
        server = ServerId(name),
        incarnation = "1",
        sequence = 1,
        role = EngineRole.MIXED,
        models = listOf("m"),
        queuedPromptTokens = queued,
        runningRequests = 0,
        remainingOutputTokens = 0,
        kvTokensUsed = 0,
        kvTokensTotal = 128_000,
    )

    private fun server(
        name: String,
        domain: String = "d",
        drain: Boolean = false,
        role: EngineRole = EngineRole.MIXED,
    ) = BackendServerConfig(
        name = name,
        address = "127.0.0.1:1",
        domain = domain,
        region = "r",
        drain = drain,
        role = role,
    )

    private companion object {
        val NOW = Moment.ZERO
    }
}
