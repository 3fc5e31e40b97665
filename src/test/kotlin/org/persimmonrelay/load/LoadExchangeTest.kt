package org.persimmonrelay.load

import org.persimmonrelay.backend.BackendServers.ENGINES
import org.persimmonrelay.backend.BackendServers.PLACE
import org.persimmonrelay.backend.BackendServers.SHAPE
import org.persimmonrelay.backend.BackendServers.server
import org.persimmonrelay.backend.EngineStage
import org.persimmonrelay.backend.Placement
import org.persimmonrelay.backend.PlacementQuery
import org.persimmonrelay.backend.PromptPart
import org.persimmonrelay.backend.RequestProfile
import org.persimmonrelay.backend.ServerChooser
import org.persimmonrelay.clock.ManualClock
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.membership.NodePeer
import org.persimmonrelay.timeline.EventCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Several nodes send long prompts to the same engines; each sees only its own part of the load on an engine. */
class LoadExchangeTest {
    private val clock = ManualClock()
    private val prefillServers = List(2) { server("p$it", EngineStage.PREFILL) }
    private val servers = prefillServers + server("d0")
    private val events = ArrayList<EventCode>()
    private val a = Node("a")
    private val b = Node("b")

    @Test
    fun `a node avoids an engine that another node keeps busy`() {
        val first = a.choose()
        repeat(4) { a.send(first) }
        assertEquals(first, b.choose())

        a.exchange.sendReport(isFarRound = true, clock.now())

        assertNotEquals(first, b.choose())
    }

    @Test
    fun `the reported work of a node no longer counts when its reports stop`() {
        val first = a.choose()
        repeat(4) { a.send(first) }
        a.exchange.sendReport(isFarRound = true, clock.now())

        clock.advance(5.seconds)
        b.exchange.expireSilentPeers(clock.now())

        assertEquals(first, b.choose())
        assertTrue(LoadEvent.PEER_SILENT in events)
    }

    @Test
    fun `an older report that arrives late is ignored`() {
        val first = a.choose()
        a.send(first)
        a.exchange.sendReport(isFarRound = true, clock.now())
        val outdated = a.sent.last()
        repeat(4) { a.send(first) }
        a.exchange.sendReport(isFarRound = true, clock.now())
        b.exchange.receive(outdated)

        assertNotEquals(first, b.choose())
    }

    @Test
    fun `invalid datagrams and reports of unknown nodes are ignored`() {
        val before = b.choose()
        repeat(3) { b.exchange.receive(byteArrayOf(1, 2, 3)) }
        assertEquals(1, events.count { it == LoadEvent.REPORT_UNREADABLE })
        val work = Node("unknown").apply { repeat(4) { send(before) } }.chooser.work()
        b.exchange.receive(NodeLoadReport(NodeId("unknown"), Incarnation("1"), 1, work).encode())

        assertEquals(before, b.choose())
    }

    @Test
    fun `with few nodes, those in other regions get reports at the lower rate`() {
        val far = NodePeer(NodeId("far"), FailureDomain("inland-a"), ServerAddress("127.0.0.1", 9))
        val near = NodePeer(NodeId("near"), PLACE.domain, ServerAddress("127.0.0.1", 8))

        assertEquals(LoadReportRecipients(listOf(near), listOf(far)), loadReportRecipients(PLACE, listOf(far, near)))
    }

    @Test
    fun `with many nodes only those in the region get reports`() {
        val far = List(20) { NodePeer(NodeId("far$it"), FailureDomain("inland-a"), ServerAddress("127.0.0.1", 9)) }
        val near = List(5) { NodePeer(NodeId("near$it"), PLACE.domain, ServerAddress("127.0.0.1", 8)) }

        assertEquals(LoadReportRecipients(near, emptyList()), loadReportRecipients(PLACE, far + near))
    }

    private inner class Node(name: String) {
        val chooser = ServerChooser(PLACE)
        val sent = ArrayList<ByteArray>()
        private val other = if (name == "a") "b" else "a"
        val exchange: LoadExchange = LoadExchange(
            self = NodeId(name),
            incarnation = Incarnation("$name-1"),
            chooser = chooser,
            transport = object : LoadReportTransport {
                override fun send(address: ServerAddress, bytes: ByteArray) {
                    sent += bytes
                    (if (other == "b") b else a).exchange.receive(bytes)
                }
            },
            recipients = {
                LoadReportRecipients(
                    listOf(NodePeer(NodeId(other), PLACE.domain, ServerAddress("127.0.0.1", 1))),
                    emptyList(),
                )
            },
            clock = clock,
            events = { code, _ -> events += code },
        )

        fun choose(): String {
            val placement = chooser.choose(
                PlacementQuery(request(0), 4.seconds, emptySet(), clock.now(), pauseTarget = 250.milliseconds),
                servers,
                SHAPE,
            )
            return (placement as Placement.Split).prefill.server.instance.id.value
        }

        fun send(prefillServer: String) {
            val chosen = prefillServers.first { it.instance.id.value == prefillServer }
            chooser.sent(Placement.Chosen(chosen, 1.seconds, 17_000), request(1), SHAPE, clock.now())
        }

        private fun request(number: Int) =
            RequestProfile(ENGINES, listOf(PromptPart("long-$number", 17_000)), 17_000, 13)
    }
}
