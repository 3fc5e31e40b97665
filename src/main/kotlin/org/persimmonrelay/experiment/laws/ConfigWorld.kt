package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.flow.MutableStateFlow
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.Region
import org.persimmonrelay.membership.Member
import org.persimmonrelay.membership.MemberState
import org.persimmonrelay.membership.MembershipView
import org.persimmonrelay.peer.PeerAddress
import org.persimmonrelay.standin.StandInObjectStore
import org.persimmonrelay.standin.StandInTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One life of a node at a place: its process, what it runs, and when it began. */
internal class NodeLife(val place: Int, val process: VirtualProcess, val node: ConfigNode, val began: Moment)

/** A few nodes around one table, with a plan of faults drawn from [seed]. */
internal class ConfigWorld(private val seed: Long, private val kind: (NodeParts) -> ConfigNode) {
    private val random = Random(seed)
    private val nodes = SIZES.random(random)
    private val stores = VirtualTime().let { time -> Stores(time, VirtualNetwork(time, random)) }
    private val peers = VirtualPeers(stores.time, random)
    private val lives = IntArray(nodes)
    private val disturbances = Disturbances(nodes)
    private val members = List(nodes) { MutableStateFlow(emptyView(it)) }

    val time: VirtualTime
        get() = stores.time

    /** The present life of each node. */
    val running: MutableList<NodeLife> = mutableListOf()

    /** Places of nodes. */
    val places: IntRange
        get() = 0 until nodes

    /** Starts the nodes, and faults that begin within [within] after [from]; returns the window of the faults. */
    fun start(from: Duration, within: Duration): FaultWindow {
        val window = FaultWindow.of(random, from, within)
        lives.fill(1)
        publishMembers()
        places.forEach { running += newLife(it) }
        ConfigFault.plan(random, nodes, window).forEach { fault -> time.after(fault.at) { begin(fault) } }
        return window
    }

    /**
     * True when a change that the node at [from] took from [began] to [ended] must have reached the node at [place]
     * by now: from the stores, by a push, or through a node that it reached in one of these ways.
     */
    fun reached(place: Int, from: Int, began: Moment, ended: Moment): Boolean {
        if (disturbances.node(place, began)) return false
        if (reachedDirectly(place, from, began, ended)) return true
        return (places - place).any { third ->
            reachedDirectly(third, from, began, ended) &&
                !disturbances.link(place, third, ended, time.now)
        }
    }

    /** True when the stores or a push must have taken the change to the node at [place] by now. */
    fun reachedDirectly(place: Int, from: Int, began: Moment, ended: Moment): Boolean {
        if (disturbances.node(place, began)) return false
        return !disturbances.store(place, ended - STORE_RECOVERY) || !disturbances.link(place, from, began, ended)
    }

    /** True when [life] and a majority of the nodes have run and reached each other for [since]. */
    fun seesMajority(life: NodeLife, since: Duration): Boolean {
        val from = time.now - since
        val settled = running.filter {
            it.node.ready && it.began < from && !disturbances.node(it.place, from)
        }
        if (life !in settled) return false
        val linked = settled.count { it === life || !disturbances.link(life.place, it.place, from, time.now) }
        return linked * 2 > nodes
    }

    private fun begin(fault: ConfigFault) {
        when (fault.kind) {
            ConfigFaultKind.STORE_OUTAGE -> storeOutage(fault)
            ConfigFaultKind.STORE_CUT -> cutStore(fault.victims.first(), fault.duration)
            ConfigFaultKind.LOST_ANSWERS -> stores.network.lostStoreAnswers += fault.count
            ConfigFaultKind.PARTITION -> partition(fault)
            ConfigFaultKind.ISOLATION -> {
                partition(fault)
                fault.victims.forEach { cutStore(it, fault.duration) }
            }
            ConfigFaultKind.LINK_CUT -> fault.victims.zipWithNext().forEach { (a, b) -> cutLink(a, b, fault.duration) }
            ConfigFaultKind.RESTART -> restart(fault.victims.first(), minOf(fault.duration, LONGEST_RESTART))
            ConfigFaultKind.PAUSE -> pause(fault.victims.first(), fault.duration)
            ConfigFaultKind.SLOW_PEERS -> slowPeers(fault.duration)
            ConfigFaultKind.DUPLICATION -> {
                peers.duplicateShare = DUPLICATES
                time.after(fault.duration) { peers.duplicateShare = 0.0 }
            }
        }
    }

    private fun storeOutage(fault: ConfigFault) {
        places.forEach { disturbances.disturbStore(it, time.now, fault.duration) }
        stores.down(true)
        time.after(fault.duration) { stores.down(false) }
    }

    private fun cutStore(place: Int, duration: Duration) {
        disturbances.disturbStore(place, time.now, duration)
        stores.network.cut(running[place].process, Target.STORE, duration)
    }

    private fun partition(fault: ConfigFault) = fault.victims.forEach { victim ->
        (places - fault.victims.toSet()).forEach { other -> cutLink(victim, other, fault.duration) }
    }

    private fun cutLink(one: Int, other: Int, duration: Duration) {
        disturbances.disturbLink(one, other, time.now, duration)
        peers.cut(nodeId(one), nodeId(other), duration)
    }

    private fun slowPeers(duration: Duration) {
        places.forEach { one -> places.forEach { disturbances.disturbLink(one, it, time.now, duration) } }
        peers.extraDelay = EXTRA_DELAY
        time.after(duration) { peers.extraDelay = Duration.ZERO }
    }

    private fun pause(place: Int, duration: Duration) {
        val process = running[place].process
        disturbances.disturbNode(place, time.now, duration)
        process.pause()
        time.after(duration) { process.resume() }
    }

    private fun restart(place: Int, down: Duration) {
        disturbances.disturbNode(place, time.now, down)
        running[place].process.kill()
        time.after(down) {
            running[place].process.kill()
            lives[place]++
            publishMembers()
            running[place] = newLife(place)
        }
    }

    private fun newLife(place: Int): NodeLife {
        val process = VirtualProcess(time, "${nodeId(place)}-${lives[place]}")
        val parts = NodeParts(
            process = process,
            table = VirtualTable(stores.network, process, stores.table),
            objects = stores.objects,
            network = peers.endpoint(address(place), process),
            members = members[place],
            random = Random(seed * PLACES + place * LIVES + lives[place]),
        )
        return NodeLife(place, process, kind(parts).also { it.start() }, time.now)
    }

    private fun publishMembers() = members.forEachIndexed { place, view ->
        val all = places.map(::member)
        view.value = MembershipView(all[place], all)
    }

    private fun emptyView(place: Int) = MembershipView(member(place), emptyList())

    private fun member(place: Int) = Member(address(place), FailureDomain("d"), Region("r"), MemberState.ALIVE)

    private fun address(place: Int) =
        PeerAddress(nodeId(place), Incarnation(lives[place].toString()), "10.0.0.$place", 1)

    private fun nodeId(place: Int) = NodeId("n$place")

    /** Table and objects, which fail together. */
    private class Stores(val time: VirtualTime, val network: VirtualNetwork) {
        val table = StandInTable()
        val objects = StandInObjectStore()

        fun down(down: Boolean) {
            network.storeDown = down
            objects.faults.down = down
        }
    }

    private companion object {
        val SIZES = listOf(3, 4, 5)
        const val PLACES = 1_000L
        const val LIVES = 50
        const val DUPLICATES = 0.5

        /** A node that found the stores down may try them again only after this time. */
        val STORE_RECOVERY = 5.seconds
        val EXTRA_DELAY = 900.milliseconds
        val LONGEST_RESTART = 5.seconds
    }
}
