package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.LeaseTerms
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Results of one lease mechanism under one kind of fault.
 *
 * [falseTakeovers] counts takeovers while the previous holder was running and could reach the store.
 * [ordersPastAuthority] counts orders that arrived when the row did not name their sender as the holder; the receiver
 * accepts all orders. Takeover times are in seconds from the kill of a holder until the next process holds the lease,
 * only where that process was running at the time of the kill.
 */
@Serializable
public data class LeaseFigures(
    val mechanism: String,
    val fault: String,
    val schedules: Int,
    val overlaps: Int,
    val falseTakeovers: Int,
    val ordersPastAuthority: Int,
    val orders: Int,
    val takeovers: Int,
    val takeoverMedian: Double?,
    val takeoverLongest: Double?,
)

/**
 * Compares leases that expire after the watched row has not changed for some time with leases that expire at a
 * wall-clock time, in the same schedules of faults.
 */
public object LeaseComparison {
    /** Runs [schedules] schedules for each kind of fault and each mechanism. */
    public fun run(schedules: Int, seed: Long): List<LeaseFigures> = FAULT_KINDS.flatMap { kinds ->
        Mechanism.entries.map { mechanism ->
            val trials = (0 until schedules).toList().parallelStream()
                .map { LeaseTrial(seed + it, kinds, mechanism).apply { run() } }
                .toList()
            figures(mechanism, kinds, trials)
        }
    }

    private fun figures(mechanism: Mechanism, kinds: List<FaultKind>, trials: List<LeaseTrial>): LeaseFigures {
        val times = trials.flatMap { it.takeoverSeconds }.sorted()
        return LeaseFigures(
            mechanism = mechanism.title,
            fault = kinds.joinToString("+").ifEmpty { "none" },
            schedules = trials.size,
            overlaps = trials.count { it.overlapped },
            falseTakeovers = trials.sumOf { it.falseTakeovers },
            ordersPastAuthority = trials.sumOf { it.ordersPastAuthority },
            orders = trials.sumOf { it.orders },
            takeovers = trials.sumOf { it.takeovers },
            takeoverMedian = times.getOrNull(times.size / 2),
            takeoverLongest = times.lastOrNull(),
        )
    }

    private val FAULT_KINDS = listOf(
        emptyList(),
        listOf(FaultKind.KILL),
        listOf(FaultKind.PAUSE),
        listOf(FaultKind.PAUSE_AT_SEND),
        listOf(FaultKind.STORE_OUTAGE),
        listOf(FaultKind.LOSS),
    )
}

/** Lease mechanisms that are compared; [title] is shown in the results. */
internal enum class Mechanism(val title: String) {
    WATCHED("watched silence"),
    WATCHED_WITHOUT_RESTART("watched silence, failed reads ignored"),
    WALL_CLOCK("wall-clock expiry in the row"),
}

/** A process that competes for the lease in a trial. */
private class Contender(val process: VirtualProcess, val isHeld: () -> Boolean)

/** One schedule for one mechanism. A process that holds the lease sends an order every 500 ms. */
internal class LeaseTrial(seed: Long, kinds: List<FaultKind>, private val mechanism: Mechanism) {
    private val world = VirtualWorld(seed, PROCESSES, kinds)
    private val contenders = arrayOfNulls<Contender>(PROCESSES)
    private var lastHolder: VirtualProcess? = null
    private var lastHolderKilledAt: Moment? = null
    private var runningAtKill: List<VirtualProcess> = emptyList()

    var overlapped: Boolean = false
        private set
    var falseTakeovers: Int = 0
        private set
    var ordersPastAuthority: Int = 0
        private set
    var orders: Int = 0
        private set
    var takeovers: Int = 0
        private set
    val takeoverSeconds: MutableList<Double> = mutableListOf()

    fun run() {
        world.run(SETTLE, ::observe) { index, process ->
            val contender = if (mechanism == Mechanism.WALL_CLOCK) wallClock(process) else watched(index, process)
            contenders[index] = contender
            process.scope.launch { sendWhileHeld(contender) }
        }
    }

    private fun watched(index: Int, process: VirtualProcess): Contender {
        val terms = LeaseTerms(failedReadRestartsWatch = mechanism == Mechanism.WATCHED)
        val manager = leaseManager(world, index, process, terms = terms)
        manager.compete(process.scope, DUTY)
        return Contender(process) { manager.heldLease(DUTY) != null }
    }

    private fun wallClock(process: VirtualProcess): Contender {
        val table = VirtualTable(world.network, process, world.table)
        val lease = WallClockLease(table, process, world::newOperation).apply { start() }
        return Contender(process, lease::isHeld)
    }

    private suspend fun sendWhileHeld(contender: Contender) {
        while (true) {
            delay(SEND_INTERVAL)
            if (!contender.isHeld()) continue
            world.network.call(contender.process, Target.RECEIVER, 2.seconds) { receive(contender.process) }
        }
    }

    private fun receive(from: VirtualProcess) {
        orders++
        val key = if (mechanism == Mechanism.WALL_CLOCK) "naive-lease" else "lease/${DUTY.name}"
        val row = now { world.table.read(listOf(key)) }.getOrNull()!!.single()
        if (from.name !in row.value) ordersPastAuthority++
    }

    private fun observe() {
        val holders = contenders.filter { it != null && it.isHeld() && !it.process.killed }
        if (holders.size > 1) overlapped = true
        if (lastHolder?.killed == true && lastHolderKilledAt == null) recordKill()
        val holder = holders.map { it!!.process }.firstOrNull { it !== lastHolder } ?: return
        if (holders.any { it!!.process === lastHolder }) return
        recordTakeover(holder)
    }

    private fun recordKill() {
        lastHolderKilledAt = world.time.now
        runningAtKill = world.running.filter { it.isRunning }
    }

    private fun recordTakeover(newHolder: VirtualProcess) {
        val previousHolder = lastHolder
        if (previousHolder != null) {
            takeovers++
            if (previousHolder.isRunning && !world.network.isCut(previousHolder, Target.STORE)) falseTakeovers++
            lastHolderKilledAt?.takeIf { newHolder in runningAtKill }?.let {
                takeoverSeconds += (world.time.now - it).toDouble(DurationUnit.SECONDS)
            }
        }
        lastHolder = newHolder
        lastHolderKilledAt = null
    }

    private companion object {
        const val PROCESSES = 3
        val DUTY = Duty("duty")
        val SEND_INTERVAL = 500.milliseconds
        val SETTLE = 60.seconds
    }
}
