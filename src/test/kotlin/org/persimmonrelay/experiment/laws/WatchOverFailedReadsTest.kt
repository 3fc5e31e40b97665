package org.persimmonrelay.experiment.laws

import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.node.relayLeaseTerms
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against two holders of one lease under the short terms of the users' platform, where a failed read does not
 * restart a candidate's watch.
 */
class WatchOverFailedReadsTest {
    private val duty = Duty("duty")
    private val terms = relayLeaseTerms(conflictWindow = 1.seconds)

    @Test
    fun `two processes never hold the lease of a duty at the same time even when reads fail`() {
        val failing = (FIRST_SEED until FIRST_SEED + SCHEDULES).filter { seed -> !leaseIsExclusive(seed) }

        assertEquals(emptyList(), failing)
    }

    private fun leaseIsExclusive(seed: Long): Boolean {
        val kinds = FaultKind.entries - FaultKind.RECEIVER_CRASH - FaultKind.PAUSE_AT_SEND
        val world = VirtualWorld(seed, PROCESSES, kinds)
        val leases = arrayOfNulls<LeaseManager>(PROCESSES)
        var exclusive = true
        val check = { exclusive = exclusive && leases.count { it?.heldLease(duty) != null } <= 1 }
        world.run(SETTLE, check) { index, process ->
            leases[index] = leaseManager(world, index, process, terms = terms).also { it.compete(process.scope, duty) }
        }
        return exclusive && leases.any { it?.heldLease(duty) != null }
    }

    private companion object {
        const val PROCESSES = 3
        const val SCHEDULES = 500
        const val FIRST_SEED = 40_000L
        val SETTLE = 60.seconds
    }
}
