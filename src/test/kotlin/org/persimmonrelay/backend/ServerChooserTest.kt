package org.persimmonrelay.backend

import org.persimmonrelay.backend.BackendServers.ENGINES
import org.persimmonrelay.backend.BackendServers.PLACE
import org.persimmonrelay.backend.BackendServers.SHAPE
import org.persimmonrelay.backend.BackendServers.server
import org.persimmonrelay.clock.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ServerChooserTest {
    private val chooser = ServerChooser(PLACE)
    private var now = Moment.ZERO

    @Test
    fun `long prompts with the same shared part are prefilled on one server while it is not overloaded`() {
        val prefillers = List(4) { server("p$it", EngineStage.PREFILL) }
        val servers = prefillers + server("d0")

        val chosen = (1..8).map { request ->
            val split = assertIs<Placement.Split>(choose(prompt("history", request), servers))
            finish(split.prefill, prompt("history", request), 50.milliseconds)
            split.prefill.server
        }

        assertEquals(1, chosen.distinct().size)
    }

    @Test
    fun `nodes choose the same prefill server for a shared part without communication`() {
        val servers = List(5) { server("p$it", EngineStage.PREFILL) } + server("d0")

        val choices = List(3) { ServerChooser(PLACE) }.map {
            val placement = it.choose(query(prompt("history", 1)), servers, SHAPE)
            assertIs<Placement.Split>(placement).prefill.server
        }

        assertEquals(1, choices.distinct().size)
    }

    @Test
    fun `a prefill server with a long backlog is not chosen`() {
        val servers = List(2) { server("p$it", EngineStage.PREFILL) } + server("d0")
        val first = assertIs<Placement.Split>(choose(prompt("history", 0), servers)).prefill
        repeat(6) { chooser.sent(first.copy(prefillTokens = 17_000), prompt("history", it), SHAPE, now) }

        val next = assertIs<Placement.Split>(choose(prompt("history", 9), servers)).prefill

        assertNotEquals(first.server, next.server)
    }

    @Test
    fun `short prompts are prefilled on the decode server`() {
        val servers = listOf(server("p0", EngineStage.PREFILL), server("d0"))

        val placement = choose(RequestProfile(ENGINES, listOf(PromptPart("a", 100)), 100, 10), servers)

        assertEquals("d0", assertIs<Placement.Chosen>(placement).server.instance.id.value)
    }

    @Test
    fun `a server that fails several times in a row is avoided until it recovers`() {
        val servers = listOf(server("a", stage = null, slots = 6), server("b", stage = null, slots = 6))
        val plain = RequestProfile(ENGINES)
        val first = assertIs<Placement.Chosen>(choose(plain, servers))
        repeat(3) { chooser.sent(first, plain, null, now).failed(now) }

        assertNotEquals(first.server, assertIs<Placement.Chosen>(choose(plain, servers)).server)

        now += 10.seconds
        assertEquals(first.server, assertIs<Placement.Chosen>(choose(plain, listOf(first.server))).server)
    }

    @Test
    fun `a request that can't start in time is refused at once with a time to retry after`() {
        val servers = listOf(server("d0"))
        repeat(20) {
            val chosen = Placement.Chosen(servers[0], 1.seconds, 20_000)
            chooser.sent(chosen, prompt("history", it), SHAPE, now)
        }

        val refused = assertIs<Placement.Refused>(choose(prompt("other", 1), servers, maxStartDelay = 1.seconds))

        assertEquals(RefusalReason.TOO_LATE, refused.reason)
        assertTrue(refused.retryAfter.isPositive())
    }

    @Test
    fun `a request is refused when there is no decode server`() {
        val refused = choose(prompt("history", 1), listOf(server("p0", EngineStage.PREFILL)))

        assertEquals(RefusalReason.NO_SERVER, assertIs<Placement.Refused>(refused).reason)
    }

    @Test
    fun `the decode server is chosen close to the prefill server`() {
        val near = server("near", domain = "inland-a")
        val servers = listOf(server("far", domain = "puget-a"), near)

        val decode = chooser.chooseDecode(query(prompt("history", 1)), ServerCandidates.of(servers), SHAPE, near)

        assertEquals(near, assertIs<Placement.Chosen>(decode).server)
    }

    private fun choose(request: RequestProfile, servers: List<BackendServer>, maxStartDelay: Duration = 4.seconds) =
        chooser.choose(query(request, maxStartDelay), servers, SHAPE)

    private fun query(request: RequestProfile, maxStartDelay: Duration = 4.seconds) =
        PlacementQuery(request, maxStartDelay, emptySet(), now)

    private fun finish(chosen: Placement.Chosen, request: RequestProfile, elapsed: Duration) {
        val inFlight = chooser.sent(chosen, request, SHAPE, now)
        now += elapsed
        inFlight.firstResponse(elapsed, now)
        inFlight.succeeded(now)
    }

    private fun prompt(shared: String, own: Int) =
        RequestProfile(ENGINES, listOf(PromptPart(shared, 13_000), PromptPart("own-$own", 3_700)), 16_700, 120, own)
}
