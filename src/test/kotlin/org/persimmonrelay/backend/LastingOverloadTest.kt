package org.persimmonrelay.backend

import org.persimmonrelay.backend.BackendServers.ENGINES
import org.persimmonrelay.backend.BackendServers.PLACE
import org.persimmonrelay.backend.BackendServers.SHAPE
import org.persimmonrelay.backend.BackendServers.server
import org.persimmonrelay.clock.Moment
import java.util.PriorityQueue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A burst of three times the capacity for several seconds: requests beyond the capacity are refused at once, and those
 * that are accepted are served on time. Servers prefill one prompt after the other, in virtual time.
 */
class LastingOverloadTest {
    private val chooser = ServerChooser(PLACE)
    private val servers = List(4) { server("d$it") }
    private val freeAt = servers.associateWith { Moment.ZERO }.toMutableMap()
    private val completions = PriorityQueue<Completion>(compareBy { it.at })
    private val served = ArrayList<Served>()
    private val refused = ArrayList<Moment>()
    private var number = 0

    private class Completion(val at: Moment, val sentAt: Moment, val inFlight: InFlightRequest)

    private class Served(val arrivedAt: Moment, val after: Duration)

    @Test
    fun `goodput in the burst is at least nine tenths of the capacity`() {
        arrive(3.seconds, perSecond = 30)
        val burst = arrive(5.seconds, perSecond = 3 * CAPACITY_PER_SECOND)
        arrive(3.seconds, perSecond = 10)

        val inBurst = served.filter { it.arrivedAt in burst }
        val goodput = inBurst.sumOf { if (it.after <= TARGET) 1.0 else LATE_BENEFIT }
        assertTrue(goodput >= 0.9 * CAPACITY_PER_SECOND * 5, "goodput $goodput of ${CAPACITY_PER_SECOND * 5}")
        assertTrue(inBurst.all { it.after <= DEADLINE })
    }

    @Test
    fun `a short peak is served late rather than refused`() {
        arrive(3.seconds, perSecond = 30)
        arrive(250.milliseconds, perSecond = 4 * CAPACITY_PER_SECOND)
        arrive(3.seconds, perSecond = 10)

        assertEquals(emptyList(), refused)
    }

    @Test
    fun `requests that take little of the capacity are accepted during the overload`() {
        arrive(3.seconds, perSecond = 30)
        arrive(2.seconds, perSecond = 3 * CAPACITY_PER_SECOND)
        assertTrue(refused.isNotEmpty())

        val light = RequestProfile(ENGINES, listOf(PromptPart("short", 150)), 150, 5)
        val placement = chooser.choose(query(light, now), servers, SHAPE)

        assertTrue(placement is Placement.Chosen)
    }

    private var now = Moment.ZERO

    private fun arrive(span: Duration, perSecond: Int): ClosedRange<Moment> {
        val start = now
        val interval = 1.seconds / perSecond
        while (now < start + span) {
            now += interval
            complete()
            send()
        }
        return start..now
    }

    private fun send() {
        val id = number++
        val request = RequestProfile(ENGINES, listOf(PromptPart("own-$id", TOKENS)), TOKENS, 2, seed = id)
        val chosen = when (val placement = chooser.choose(query(request, now), servers, SHAPE)) {
            is Placement.Chosen -> placement
            else -> return refused.add(now).let {}
        }
        val end = maxOf(now, freeAt.getValue(chosen.server)) + PREFILL_TIME
        freeAt[chosen.server] = end
        completions += Completion(end, now, chooser.sent(chosen, request, SHAPE, now))
    }

    private fun complete() {
        while (completions.isNotEmpty() && completions.peek().at <= now) {
            val done = completions.remove()
            done.inFlight.firstResponse(done.at - done.sentAt, done.at)
            done.inFlight.succeeded(done.at)
            served += Served(done.sentAt, done.at - done.sentAt)
        }
    }

    private fun query(request: RequestProfile, now: Moment) =
        PlacementQuery(request, DEADLINE * 0.8, emptySet(), now, latencyTarget = TARGET)

    private companion object {
        const val TOKENS = 9_000
        val PREFILL_TIME = 90.milliseconds
        const val CAPACITY_PER_SECOND = 44
        val TARGET = 400.milliseconds
        val DEADLINE = 2.seconds
        const val LATE_BENEFIT = 0.5
    }
}
