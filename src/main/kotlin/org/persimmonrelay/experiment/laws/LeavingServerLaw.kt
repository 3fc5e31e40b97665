/*
 * A backend server that any node knows to be leaving is known to be leaving by every running node of that
 * region within BOUND, under loss, duplication, kills and pauses of other nodes. The naive version waits for
 * the host list, which lags.
 */
package org.persimmonrelay.experiment.laws

import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.membership.ServerIncarnation
import org.persimmonrelay.standin.VirtualMesh
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Spreading of leaving backend servers, against polling the host list. */
public object LeavingServerLaw : Law {
    /** Time within which a region knows. */
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
        mesh.advance(JOIN)
        mesh.hub.loss = random.nextInt(LOSS_PERCENT + 1) / PERCENT
        mesh.hub.duplication = random.nextInt(LOSS_PERCENT + 1) / PERCENT
        disturb(mesh, random)
        val life = ServerIncarnation(ServerId("engine"), "boot-1")
        mesh.nodes.getValue(WITNESS).components.drainingServers.mark(life, "eviction notice", mesh.clock.now())
        repeat(BOUND.inWholeSeconds.toInt()) { refreshAfterSecond(mesh) }
        val ignorant = mesh.nodes.values.any {
            !it.components.drainingServers.isDraining(life.server, life.incarnation)
        }
        mesh.close()
        return ignorant
    }

    private fun disturb(mesh: VirtualMesh, random: Random) {
        mesh.kill(NodeId("node-${random.nextInt(1, NODES)}"))
        val paused = NodeId("node-${random.nextInt(1, NODES)}")
        mesh.pause(paused)
        mesh.advance(random.nextInt(1, LONGEST_PAUSE_SECONDS).seconds)
        mesh.resume(paused)
    }

    private fun refreshAfterSecond(mesh: VirtualMesh) {
        mesh.advance(1.seconds)
        mesh.nodes.values.forEach {
            it.components.drainingServers.refresh(it.components.membership.view.value.members, mesh.clock.now())
        }
    }

    /** Each node polls a host list that shows the server as leaving only after the list's lag. */
    private fun naiveViolated(seed: Long): Boolean {
        val random = Random(seed)
        val lag = random.nextInt(LONGEST_LAG_SECONDS).seconds
        return List(NODES) { lag + POLL_PERIOD * random.nextDouble() }.any { it > BOUND }
    }

    private val JOIN = 20.seconds
    private val POLL_PERIOD = 5.seconds
    private val WITNESS = NodeId("node-0")
    private const val SEED_STEP = 1_000_003L
    private const val NODES = 12
    private const val LOSS_PERCENT = 10
    private const val PERCENT = 100.0
    private const val LONGEST_PAUSE_SECONDS = 30
    private const val LONGEST_LAG_SECONDS = 60
}
