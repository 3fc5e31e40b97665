package org.persimmonrelay.membership

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.persimmonrelay.clock.ManualClock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.node.FakeGossip
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.platform.Host
import org.persimmonrelay.platform.HostState
import org.persimmonrelay.platform.PriceClass
import org.persimmonrelay.standin.StandInHostList
import org.persimmonrelay.timeline.EventSink
import kotlin.test.Test
import kotlin.test.assertEquals

class HostListWatcherTest {
    private val gossip = FakeGossip()
    private val reader = watch("n1")
    private val listener = watch("n2")

    @Test
    fun `a leaving host is out of work on nodes that never read the list`() {
        reader.onHosts(listOf(host("1", HostState.LEAVING)), NOW)

        refreshAll()

        assertEquals(setOf(SERVER), listener.drainingServers.value)
    }

    @Test
    fun `leaving wins over live in the same life, which the lagging list may still show`() {
        reader.onHosts(listOf(host("1", HostState.LEAVING)), NOW)
        reader.onHosts(listOf(host("1", HostState.LIVE)), NOW)

        refreshAll()

        assertEquals(setOf(SERVER), reader.drainingServers.value)
        assertEquals(setOf(SERVER), listener.drainingServers.value)
    }

    @Test
    fun `a host that came back in another life takes work again everywhere`() {
        reader.onHosts(listOf(host("1", HostState.LEAVING)), NOW)
        refreshAll()
        reader.onHosts(listOf(host("2", HostState.LIVE)), NOW)

        refreshAll()

        assertEquals(emptySet(), reader.drainingServers.value)
        assertEquals(emptySet(), listener.drainingServers.value)
    }

    private fun refreshAll() {
        reader.refresh(NOW)
        listener.refresh(NOW)
    }

    private fun watch(node: String): HostListWatcher {
        val shared = gossip.of(node)
        val marks = DrainingServers(NodeId(node), shared, EventSink.NONE)
        return HostListWatcher(StandInHostList(), TwoNodes(node), marks, shared, ManualClock())
    }

    private fun host(life: String, state: HostState) =
        Host(SERVER, "127.0.0.1:1", FailureDomain("d"), "r", PriceClass.CHEAP, state, life)

    private class TwoNodes(self: String) : Membership {
        private val members = listOf("n1", "n2").map(::member)

        override val view: StateFlow<MembershipView> =
            MutableStateFlow(MembershipView(members.first { it.address.node.value == self }, members))

        override suspend fun leave() = Unit

        private fun member(node: String) = Member(
            address = PeerAddress(NodeId(node), Incarnation("1"), "127.0.0.1", 1),
            domain = FailureDomain("d"),
            region = Region("r"),
            state = MemberState.ALIVE,
        )
    }

    private companion object {
        val SERVER = ServerId("engine")
        val NOW = Moment.ZERO
    }
}
