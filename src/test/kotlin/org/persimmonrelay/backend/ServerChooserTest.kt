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
    fun `long prompts with one shared part are read at one server while it keeps up`() {
        val readers = List(4) { server("p$it", EngineStage.PREFILL) }
        val servers = readers + server("d0")

        val chosen = (1..8).map { request ->
            val split = assertIs<Placement.Split>(choose(prompt("history", request), servers))
            finish(split.prefill, prompt("history", request), 50.milliseconds)
            split.prefill.server
        }

        assertEquals(1, chosen.distinct().size)
    }

    @Test
    fun `nodes agree on the reader of a shared part without a word between them`() {
        val servers = List(5) { server("p$it", EngineStage.PREFILL) } + server("d0")

        val choices = List(3) { ServerChooser(PLACE) }.map {
            val placement = it.choose(query(prompt("history", 1)), servers, SHAPE)
            assertIs<Placement.Split>(placement).prefill.server
        }

        assertEquals(1, choices.distinct().size)
    }

    @Test
    fun `a reader with much unread work is passed over`() {
        val servers = List(2) { server("p$it", EngineStage.PREFILL) } + server("d0")
        val first = assertIs<Placement.Split>(choose(prompt("history", 0), servers)).prefill
        repeat(6) { chooser.sent(first.copy(prefillTokens = 17_000), prompt("history", it), SHAPE, now) }

        val next = assertIs<Placement.Split>(choose(prompt("history", 9), servers)).prefill

        assertNotEquals(first.server, next.server)
    }

    @Test
    fun `short prompts are read where their tokens are made`() {
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
    fun `work that can't begin in time is refused at once with a time to come back`() {
        val servers = listOf(server("d0"))
        repeat(20) {
            val chosen = Placement.Chosen(servers[0], 1.seconds, 20_000)
            chooser.sent(chosen, prompt("history", it), SHAPE, now)
        }

        val refused = assertIs<Placement.Refused>(choose(prompt("other", 1), servers, latest = 1.seconds))

        assertEquals(RefusalReason.TOO_LATE, refused.reason)
        assertTrue(refused.retryAfter.isPositive())
    }

    @Test
    fun `without a server that makes tokens nothing is chosen`() {
        val refused = choose(prompt("history", 1), listOf(server("p0", EngineStage.PREFILL)))

        assertEquals(RefusalReason.NO_SERVER, assertIs<Placement.Refused>(refused).reason)
    }

    @Test
    fun `tokens are made near where the prompt was read`() {
        val near = server("near", domain = "inland-a")
        val servers = listOf(server("far", domain = "puget-a"), near)

        val maker = chooser.chooseDecode(query(prompt("history", 1)), servers, SHAPE, near.domain)

        assertEquals(near, assertIs<Placement.Chosen>(maker).server)
    }

    private fun choose(request: RequestProfile, servers: List<BackendServer>, latest: Duration = 4.seconds) =
        chooser.choose(query(request, latest), servers, SHAPE)

    private fun query(request: RequestProfile, latest: Duration = 4.seconds) =
        PlacementQuery(request, latest, emptySet(), now)

    private fun finish(chosen: Placement.Chosen, request: RequestProfile, took: Duration) {
        val ticket = chooser.sent(chosen, request, SHAPE, now)
        now += took
        ticket.firstResponse(took, now)
        ticket.succeeded()
    }

    private fun prompt(shared: String, own: Int) =
        RequestProfile(ENGINES, listOf(PromptPart(shared, 13_000), PromptPart("own-$own", 3_700)), 16_700, 120, own)
}
