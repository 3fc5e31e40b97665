/*
 * After one node learns that a backend server is draining, all running nodes of the region know it within BOUND, under
 * message loss, duplication, kills and pauses of other nodes. The naive version polls the host list, which is up to a
 * minute out of date.
 */
package org.persimmonrelay.experiment.laws

import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.membership.ServerIncarnation
import org.persimmonrelay.standin.VirtualMesh
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Compares spreading the list of draining backend servers between nodes with polling the host list. */
public object LeavingServerLaw : Law {
    /** Time within which all nodes of a region learn that a server is draining. */
    public val BOUND: Duration = 8.seconds

    override val name: String = "leaving-server"

    override fun run(schedules: Int, seed: Long): LawResult {
        val seeds = List(schedules) { seed * SEED_STEP + it }
        val failing = seeds.filter(::violated)
        return LawResult(name, schedules, seeds.count(::naiveViolated), failing.size, failing.firstOrNull())
    }

    private fun violated(seed: Long): Boolean {
        val mesh = VirtualMesh(seed)
        val random = Random(seed)
        repeat(NODES) { mesh.start("node-$it", "north") }
        mesh.advance(JOIN_TIME)
        mesh.hub.loss = random.nextInt(LOSS_PERCENT + 1) / PERCENT
        mesh.hub.duplication = random.nextInt(LOSS_PERCENT + 1) / PERCENT
        killAndPause(mesh, random)
        val instance = ServerIncarnation(ServerId("engine"), "boot-1")
        mesh.nodes.getValue(FIRST_NODE).components.drainingServers.mark(instance, "eviction notice", mesh.clock.now())
        repeat(BOUND.inWholeSeconds.toInt()) { refreshAfterSecond(mesh) }
        val anyUnaware = mesh.nodes.values.any {
            !it.components.drainingServers.isDraining(instance.server, instance.incarnation)
        }
        mesh.close()
        return anyUnaware
    }

    private fun killAndPause(mesh: VirtualMesh, random: Random) {
        mesh.kill(NodeId("node-${random.nextInt(1, NODES)}"))
        val paused = NodeId("node-${random.nextInt(1, NODES)}")
        mesh.pause(paused)
        mesh.advance(random.nextInt(1, MAX_PAUSE_SECONDS).seconds)
        mesh.resume(paused)
    }

    private fun refreshAfterSecond(mesh: VirtualMesh) {
        mesh.advance(1.seconds)
        mesh.nodes.values.forEach {
            it.components.drainingServers.refresh(it.components.membership.view.value.members, mesh.clock.now())
        }
    }

    /** True when a node that polls the host list, which is out of date by a random lag, learns of it after [BOUND]. */
    private fun naiveViolated(seed: Long): Boolean {
        val random = Random(seed)
        val lag = random.nextInt(MAX_LAG_SECONDS).seconds
        return List(NODES) { lag + POLL_PERIOD * random.nextDouble() }.any { it > BOUND }
    }

    private val JOIN_TIME = 20.seconds
    private val POLL_PERIOD = 5.seconds
    private val FIRST_NODE = NodeId("node-0")
    private const val SEED_STEP = 1_000_003L
    private const val NODES = 12
    private const val LOSS_PERCENT = 10
    private const val PERCENT = 100.0
    private const val MAX_PAUSE_SECONDS = 30
    private const val MAX_LAG_SECONDS = 60
}
