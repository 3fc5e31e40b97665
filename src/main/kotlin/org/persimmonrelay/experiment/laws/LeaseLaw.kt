package org.persimmonrelay.experiment.laws

import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.HolderId
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.lease.LeaseTerms
import org.persimmonrelay.lease.PredecessorEvidence
import kotlin.time.Duration.Companion.seconds

/** Two processes never hold the lease of one duty at the same time; once all faults are over, one process holds it. */
internal object LeaseLaw {
    private const val PROCESSES = 3
    private val DUTY = Duty("duty")
    private val SETTLE = 60.seconds

    private val FAULT_KINDS = FaultKind.entries - FaultKind.RECEIVER_CRASH - FaultKind.PAUSE_AT_SEND

    val LAW: Law = ScheduledLaw("one holder per duty", ::ours, ::naive)

    private fun ours(seed: Long): Boolean {
        val world = VirtualWorld(seed, PROCESSES, FAULT_KINDS)
        val leases = arrayOfNulls<LeaseManager>(PROCESSES)
        var exclusive = true
        val check = { exclusive = exclusive && leases.count { it?.heldLease(DUTY) != null } <= 1 }
        world.run(SETTLE, check) { index, process ->
            leases[index] = leaseManager(world, index, process).also { it.compete(process.scope, DUTY) }
        }
        return exclusive && leases.any { it?.heldLease(DUTY) != null }
    }

    private fun naive(seed: Long): Boolean {
        val world = VirtualWorld(seed, PROCESSES, FAULT_KINDS)
        val leases = arrayOfNulls<WallClockLease>(PROCESSES)
        var exclusive = true
        val check = { exclusive = exclusive && leases.count { it?.isHeld() == true } <= 1 }
        world.run(SETTLE, check) { index, process ->
            leases[index] =
                WallClockLease(VirtualTable(world.network, process, world.table), process, world::newOperation)
                    .also { it.start() }
        }
        return exclusive
    }
}

/** Creates a lease manager on [process]; by default there is no evidence that a predecessor has stopped. */
internal fun leaseManager(
    world: VirtualWorld,
    index: Int,
    process: VirtualProcess,
    evidence: PredecessorEvidence = PredecessorEvidence { _, _, _ -> false },
    terms: LeaseTerms = LeaseTerms(),
): LeaseManager = LeaseManager(
    table = world.reliableTable(process),
    self = holderId(index, process),
    clock = process.clock,
    random = world.random,
    evidence = evidence,
    liveNodes = { world.running.indices.map { NodeId("node-$it") } },
    newOperation = world::newOperation,
    terms = terms,
)

/** The identity under which [process] holds leases. */
internal fun holderId(index: Int, process: VirtualProcess): HolderId =
    HolderId(NodeId("node-$index"), Incarnation(process.name))
