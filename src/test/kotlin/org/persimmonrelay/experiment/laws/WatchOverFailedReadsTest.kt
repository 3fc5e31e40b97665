package org.persimmonrelay.experiment.laws

import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.node.relayLeaseTerms
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** Terms as on the users' platform: short, and a failed read does not end a candidate's watch. */
class WatchOverFailedReadsTest {
    private val duty = Duty("duty")
    private val terms = relayLeaseTerms(conflictWindow = 1.seconds)

    @Test
    fun `at no moment do two processes hold a duty, whatever reads fail`() {
        val failing = (FIRST_SEED until FIRST_SEED + SCHEDULES).filter { seed -> !holdsAlone(seed) }

        assertEquals(emptyList(), failing)
    }

    private fun holdsAlone(seed: Long): Boolean {
        val kinds = FaultKind.entries - FaultKind.RECEIVER_CRASH - FaultKind.PAUSE_AT_SEND
        val world = VirtualWorld(seed, PROCESSES, kinds)
        val leases = arrayOfNulls<LeaseManager>(PROCESSES)
        var alone = true
        val check = { alone = alone && leases.count { it?.heldLease(duty) != null } <= 1 }
        world.run(SETTLE, check) { place, process ->
            leases[place] = leaseManager(world, place, process, terms = terms).also { it.compete(process.scope, duty) }
        }
        return alone && leases.any { it?.heldLease(duty) != null }
    }

    private companion object {
        const val PROCESSES = 3
        const val SCHEDULES = 500
        const val FIRST_SEED = 40_000L
        val SETTLE = 60.seconds
    }
}
