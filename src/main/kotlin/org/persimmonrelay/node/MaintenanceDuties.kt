package org.persimmonrelay.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.once.ClaimSweep
import org.persimmonrelay.usage.WindowCloser
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** Maintenance done by the lease holder: closes usage windows and removes expired idempotency claims. */
internal class MaintenanceDuties(
    private val leases: LeaseManager,
    private val closers: List<WindowCloser>,
    private val sweep: ClaimSweep,
    private val sweepInterval: Duration = 1.hours,
) {
    /** Competes for the duties until [scope] ends. */
    fun start(scope: CoroutineScope) {
        closers.forEach { it.start(scope) }
        leases.compete(scope, Duty.SWEEP)
        scope.launch { runSweeps() }
    }

    private suspend fun runSweeps() {
        while (true) {
            delay(sweepInterval)
            if (holdsSweep()) sweep.pass(::holdsSweep)
        }
    }

    private fun holdsSweep() = leases.heldLease(Duty.SWEEP) != null
}
