package org.persimmonrelay.experiment.laws

import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.HolderId
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.lease.LeaseTerms
import org.persimmonrelay.lease.PredecessorEvidence
import kotlin.time.Duration.Companion.seconds

/** At no moment do two processes hold the same duty; and once the faults are over, one does. */
internal object LeaseLaw {
    private const val PROCESSES = 3
    private val DUTY = Duty("duty")
    private val SETTLE = 60.seconds

    private val KINDS = FaultKind.entries - FaultKind.RECEIVER_CRASH - FaultKind.PAUSE_AT_SEND

    val LAW: Law = ScheduledLaw("one holder per duty", ::ours, ::naive)

    private fun ours(seed: Long): Boolean {
        val world = VirtualWorld(seed, PROCESSES, KINDS)
        val leases = arrayOfNulls<LeaseManager>(PROCESSES)
        var alone = true
        val check = { alone = alone && leases.count { it?.heldLease(DUTY) != null } <= 1 }
        world.run(SETTLE, check) { place, process ->
            leases[place] = leaseManager(world, place, process).also { it.compete(process.scope, DUTY) }
        }
        return alone && leases.any { it?.heldLease(DUTY) != null }
    }

    private fun naive(seed: Long): Boolean {
        val world = VirtualWorld(seed, PROCESSES, KINDS)
        val leases = arrayOfNulls<WallClockLease>(PROCESSES)
        var alone = true
        val check = { alone = alone && leases.count { it?.isHeld() == true } <= 1 }
        world.run(SETTLE, check) { place, process ->
            leases[place] =
                WallClockLease(VirtualTable(world.network, process, world.table), process, world::newOperation)
                    .also { it.start() }
        }
        return alone
    }
}

/** A lease manager on [process] with the default terms; [evidence] of stopped predecessors. */
internal fun leaseManager(
    world: VirtualWorld,
    place: Int,
    process: VirtualProcess,
    evidence: PredecessorEvidence = PredecessorEvidence { _, _, _ -> false },
    terms: LeaseTerms = LeaseTerms(),
): LeaseManager = LeaseManager(
    table = world.reliable(process),
    self = holderId(place, process),
    clock = process.clock,
    random = world.random,
    evidence = evidence,
    liveNodes = { world.running.indices.map { NodeId("node-$it") } },
    newOperation = world::newOperation,
    terms = terms,
)

/** The identity of [process] as a holder. */
internal fun holderId(place: Int, process: VirtualProcess): HolderId =
    HolderId(NodeId("node-$place"), Incarnation(process.name))
