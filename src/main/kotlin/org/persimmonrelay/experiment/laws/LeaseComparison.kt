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
 * What one mechanism did under one kind of fault.
 *
 * A takeover is false when the holder before was running and could reach the store. An order is past authority
 * when the row named another holder at the moment it arrived at a receiver that takes all. Times to take over
 * are from a holder's death to the next holder's first moment of authority, in seconds, where the next holder was
 * running when the other died.
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

/** Compares watched silence with a wall-clock expiry in the same schedules of faults. */
public object LeaseComparison {
    /** Runs [schedules] schedules of each kind of fault for each mechanism. */
    public fun run(schedules: Int, seed: Long): List<LeaseFigures> = FAULTS.flatMap { kinds ->
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

    private val FAULTS = listOf(
        emptyList(),
        listOf(FaultKind.KILL),
        listOf(FaultKind.PAUSE),
        listOf(FaultKind.PAUSE_AT_SEND),
        listOf(FaultKind.STORE_OUTAGE),
        listOf(FaultKind.LOSS),
    )
}

/** The mechanisms that are compared. */
internal enum class Mechanism(val title: String) {
    WATCHED("watched silence"),
    WATCHED_WITHOUT_RESTART("watched silence, failed reads ignored"),
    WALL_CLOCK("wall-clock expiry in the row"),
}

/** One process in a trial. */
private class Contender(val process: VirtualProcess, val isHeld: () -> Boolean)

/** One schedule for one mechanism: whoever holds the lease sends an order twice a second. */
internal class LeaseTrial(seed: Long, kinds: List<FaultKind>, private val mechanism: Mechanism) {
    private val world = VirtualWorld(seed, PROCESSES, kinds)
    private val contenders = arrayOfNulls<Contender>(PROCESSES)
    private var last: VirtualProcess? = null
    private var lastDiedAt: Moment? = null
    private var witnesses: List<VirtualProcess> = emptyList()

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
        world.run(SETTLE, ::observe) { place, process ->
            val contender = if (mechanism == Mechanism.WALL_CLOCK) wallClock(process) else watched(place, process)
            contenders[place] = contender
            process.scope.launch { sendWhileHeld(contender) }
        }
    }

    private fun watched(place: Int, process: VirtualProcess): Contender {
        val terms = LeaseTerms(failedReadRestartsWatch = mechanism == Mechanism.WATCHED)
        val manager = leaseManager(world, place, process, terms = terms)
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
            delay(SEND_EVERY)
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
        if (last?.killed == true && lastDiedAt == null) died()
        val holder = holders.map { it!!.process }.firstOrNull { it !== last } ?: return
        if (holders.any { it!!.process === last }) return
        takenOver(holder)
    }

    private fun died() {
        lastDiedAt = world.time.now
        witnesses = world.running.filter { it.isRunning }
    }

    private fun takenOver(by: VirtualProcess) {
        val before = last
        if (before != null) {
            takeovers++
            if (before.isRunning && !world.network.isCut(before, Target.STORE)) falseTakeovers++
            lastDiedAt?.takeIf { by in witnesses }?.let {
                takeoverSeconds += (world.time.now - it).toDouble(DurationUnit.SECONDS)
            }
        }
        last = by
        lastDiedAt = null
    }

    private companion object {
        const val PROCESSES = 3
        val DUTY = Duty("duty")
        val SEND_EVERY = 500.milliseconds
        val SETTLE = 60.seconds
    }
}
