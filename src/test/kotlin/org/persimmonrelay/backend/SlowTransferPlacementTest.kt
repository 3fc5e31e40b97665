package org.persimmonrelay.backend

import org.persimmonrelay.backend.BackendServers.ENGINES
import org.persimmonrelay.backend.BackendServers.PLACE
import org.persimmonrelay.backend.BackendServers.SHAPE
import org.persimmonrelay.backend.BackendServers.server
import org.persimmonrelay.clock.Moment
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Long prompts with very short outputs: each split request needs a transfer of KV cache, and the links of the few
 * prefill servers carry one transfer after the other.
 */
class SlowTransferPlacementTest {
    private val chooser = ServerChooser(PLACE)
    private val prefillers = List(2) { server("p$it", EngineStage.PREFILL) }
    private val decoders = List(4) { server("d$it") }
    private val servers = prefillers + decoders
    private var now = Moment.ZERO

    @Test
    fun `prompts are prefilled on the decode servers while transfers take long`() {
        repeat(20) { splitWithTransfer(taking = 900.milliseconds) }

        val placement = choose(100)

        assertIs<Placement.Chosen>(placement)
    }

    @Test
    fun `the expected time includes the wait for transfers`() {
        repeat(20) { splitWithTransfer(taking = 400.milliseconds) }

        val decode = chooser.chooseDecode(query(100), ServerCandidates.of(servers), SHAPE, prefillers[0])

        assertTrue(assertIs<Placement.Chosen>(decode).expected >= 250.milliseconds)
    }

    @Test
    fun `requests beyond the slots of a decode server are expected to wait`() {
        val full = decoders[0]
        repeat(full.slots * 2) {
            chooser.sent(Placement.Chosen(full, 100.milliseconds, 0), request(it), SHAPE, now)
        }

        val free = assertIs<Placement.Chosen>(decodeAmong(decoders.take(2)))
        val waiting = assertIs<Placement.Chosen>(decodeAmong(listOf(full)))

        assertTrue(free.server != full)
        assertTrue(waiting.expected - free.expected >= 50.milliseconds)
    }

    private fun decodeAmong(candidates: List<BackendServer>) =
        chooser.chooseDecode(query(1_000), ServerCandidates.of(candidates), SHAPE, prefillers[0])

    private fun splitWithTransfer(taking: Duration) {
        val request = request(0)
        val decode = decodeAmong(decoders) as Placement.Chosen
        val inFlight = chooser.sent(decode, request, SHAPE, now, prefillers[0])
        chooser.sent(decode, request, SHAPE, now, prefillers[1]).firstResponse(taking, now)
        now += 20.milliseconds
        inFlight.firstResponse(taking, now)
        inFlight.succeeded(now)
    }

    private fun choose(number: Int) = chooser.choose(query(number), servers, SHAPE)

    private fun query(number: Int) = PlacementQuery(request(number), 4.seconds, emptySet(), now)

    private fun request(number: Int) =
        RequestProfile(ENGINES, listOf(PromptPart("own-$number", 9_000)), 9_000, 2, number)
}
