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

/** One incarnation of node [index]; [began] is when it started. */
internal class NodeInstance(val index: Int, val process: VirtualProcess, val node: ConfigNode, val began: Moment)

/** Simulates three to five nodes that share one table and object store, with faults drawn from [seed]. */
internal class ConfigWorld(private val seed: Long, private val newNode: (ConfigNodeDependencies) -> ConfigNode) {
    private val random = Random(seed)
    private val nodes = NODE_COUNTS.random(random)
    private val stores = VirtualTime().let { time -> Stores(time, VirtualNetwork(time, random)) }
    private val peers = VirtualPeers(stores.time, random)
    private val incarnations = IntArray(nodes)
    private val disturbances = Disturbances(nodes)
    private val members = List(nodes) { MutableStateFlow(emptyView(it)) }

    val time: VirtualTime
        get() = stores.time

    /** The current incarnation of each node, by index; it may be paused or killed. */
    val running: MutableList<NodeInstance> = mutableListOf()

    val nodeIndices: IntRange
        get() = 0 until nodes

    /** Starts the nodes, and schedules faults within [within] after [from]; returns the time window of the faults. */
    fun start(from: Duration, within: Duration): FaultWindow {
        val window = FaultWindow.of(random, from, within)
        incarnations.fill(1)
        publishMembers()
        nodeIndices.forEach { running += newInstance(it) }
        ConfigFault.plan(random, nodes, window).forEach { fault -> time.after(fault.at) { begin(fault) } }
        return window
    }

    /**
     * True when a change that node [from] processed between [began] and [ended] must have reached node [index] by now:
     * from the stores, by a push, or through another node that got it in one of these ways.
     */
    fun mustHaveReached(index: Int, from: Int, began: Moment, ended: Moment): Boolean {
        if (disturbances.node(index, began)) return false
        if (mustHaveReachedDirectly(index, from, began, ended)) return true
        return (nodeIndices - index).any { via ->
            mustHaveReachedDirectly(via, from, began, ended) &&
                !disturbances.link(index, via, ended, time.now)
        }
    }

    /** True when node [index] must have got the change from the stores or by a push by now. */
    fun mustHaveReachedDirectly(index: Int, from: Int, began: Moment, ended: Moment): Boolean {
        if (disturbances.node(index, began)) return false
        return !disturbances.store(index, ended - STORE_RECOVERY) || !disturbances.link(index, from, began, ended)
    }

    /** True when [instance] and a majority of the nodes have been ready and able to reach each other for [since]. */
    fun reachesMajority(instance: NodeInstance, since: Duration): Boolean {
        val from = time.now - since
        val settled = running.filter {
            it.node.ready && it.began < from && !disturbances.node(it.index, from)
        }
        if (instance !in settled) return false
        val linked = settled.count { it === instance || !disturbances.link(instance.index, it.index, from, time.now) }
        return linked * 2 > nodes
    }

    private fun begin(fault: ConfigFault) {
        when (fault.kind) {
            ConfigFaultKind.STORE_OUTAGE -> storeOutage(fault)
            ConfigFaultKind.STORE_CUT -> cutStore(fault.victims.first(), fault.duration)
            ConfigFaultKind.LOST_ANSWERS -> stores.network.lostStoreResponses += fault.count
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
                peers.duplicateShare = DUPLICATE_SHARE
                time.after(fault.duration) { peers.duplicateShare = 0.0 }
            }
        }
    }

    private fun storeOutage(fault: ConfigFault) {
        nodeIndices.forEach { disturbances.disturbStore(it, time.now, fault.duration) }
        stores.down(true)
        time.after(fault.duration) { stores.down(false) }
    }

    private fun cutStore(index: Int, duration: Duration) {
        disturbances.disturbStore(index, time.now, duration)
        stores.network.cut(running[index].process, Target.STORE, duration)
    }

    private fun partition(fault: ConfigFault) = fault.victims.forEach { victim ->
        (nodeIndices - fault.victims.toSet()).forEach { other -> cutLink(victim, other, fault.duration) }
    }

    private fun cutLink(one: Int, other: Int, duration: Duration) {
        disturbances.disturbLink(one, other, time.now, duration)
        peers.cut(nodeId(one), nodeId(other), duration)
    }

    private fun slowPeers(duration: Duration) {
        nodeIndices.forEach { one -> nodeIndices.forEach { disturbances.disturbLink(one, it, time.now, duration) } }
        peers.extraDelay = SLOW_PEERS_DELAY
        time.after(duration) { peers.extraDelay = Duration.ZERO }
    }

    private fun pause(index: Int, duration: Duration) {
        val process = running[index].process
        disturbances.disturbNode(index, time.now, duration)
        process.pause()
        time.after(duration) { process.resume() }
    }

    private fun restart(index: Int, down: Duration) {
        disturbances.disturbNode(index, time.now, down)
        running[index].process.kill()
        time.after(down) {
            running[index].process.kill()
            incarnations[index]++
            publishMembers()
            running[index] = newInstance(index)
        }
    }

    private fun newInstance(index: Int): NodeInstance {
        val process = VirtualProcess(time, "${nodeId(index)}-${incarnations[index]}")
        val dependencies = ConfigNodeDependencies(
            process = process,
            table = VirtualTable(stores.network, process, stores.table),
            objects = stores.objects,
            network = peers.endpoint(address(index), process),
            members = members[index],
            random = Random(seed * SEED_STRIDE_NODES + index * SEED_STRIDE_INCARNATIONS + incarnations[index]),
        )
        return NodeInstance(index, process, newNode(dependencies).also { it.start() }, time.now)
    }

    private fun publishMembers() = members.forEachIndexed { index, view ->
        val all = nodeIndices.map(::member)
        view.value = MembershipView(all[index], all)
    }

    private fun emptyView(index: Int) = MembershipView(member(index), emptyList())

    private fun member(index: Int) = Member(address(index), FailureDomain("d"), Region("r"), MemberState.ALIVE)

    private fun address(index: Int) =
        PeerAddress(nodeId(index), Incarnation(incarnations[index].toString()), "10.0.0.$index", 1)

    private fun nodeId(index: Int) = NodeId("n$index")

    /** The table service and the object store; an outage affects both. */
    private class Stores(val time: VirtualTime, val network: VirtualNetwork) {
        val table = StandInTable()
        val objects = StandInObjectStore()

        fun down(down: Boolean) {
            network.storeDown = down
            objects.faults.down = down
        }
    }

    private companion object {
        val NODE_COUNTS = listOf(3, 4, 5)
        const val SEED_STRIDE_NODES = 1_000L
        const val SEED_STRIDE_INCARNATIONS = 50
        const val DUPLICATE_SHARE = 0.5

        /** A node that found the stores unavailable may wait this long before it tries them again. */
        val STORE_RECOVERY = 5.seconds
        val SLOW_PEERS_DELAY = 900.milliseconds
        val LONGEST_RESTART = 5.seconds
    }
}
