package org.persimmonrelay.experiment.laws

import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.standin.StandInTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Processes that share one table, and a plan of faults. The faults depend only on [seed], not on what
 * the processes do.
 */
internal class VirtualWorld(
    private val seed: Long,
    private val processes: Int,
    kinds: List<FaultKind>,
    private val within: Duration = 60.seconds,
) {
    val time = VirtualTime()
    val random = Random(seed * 2 + 1)
    val table = StandInTable()
    val network = VirtualNetwork(time, random)

    /** Current incarnation of each process, by index; it may be paused or killed. */
    val running: MutableList<VirtualProcess> = mutableListOf()

    /** Called with [PlannedFault.detail], which selects the receiver, when a receiver of orders is to crash. */
    var crashReceiver: (Int) -> Unit = {}

    /** True when the plan kills a process, which loses its data in memory. */
    val hadKills: Boolean
        get() = plan.faults.any { it.kind == FaultKind.KILL }

    private val plan = FaultPlan(Random(seed), processes, kinds, within)
    private val clockRandom = Random(seed + 1)
    private var operations = 0
    private lateinit var boot: (Int, VirtualProcess) -> Unit
    private val incarnations = IntArray(processes)

    fun newOperation(): OperationId = OperationId("op-${operations++}")

    /** A table client of [process] that retries. */
    fun reliableTable(process: VirtualProcess): ReliableTable =
        ReliableTable(VirtualTable(network, process, table), process.clock, random)

    /** Starts the processes with [boot], and runs until [settle] after the end of the time in which faults begin. */
    fun run(settle: Duration, afterEach: () -> Unit = {}, boot: (Int, VirtualProcess) -> Unit) {
        this.boot = boot
        repeat(processes) { index ->
            running += newProcess(index)
            time.after(START_SPREAD * random.nextDouble()) { boot(index, running[index]) }
        }
        plan.faults.forEach { fault -> time.after(fault.at) { begin(fault) } }
        time.runUntil(time.now + within + settle, afterEach)
    }

    private fun newProcess(index: Int): VirtualProcess = VirtualProcess(
        time = time,
        name = "$index-${++incarnations[index]}",
        rate = 1 + (clockRandom.nextDouble() - HALF) * RATE_SPREAD,
        wallSkew = WALL_SKEW * (2 * clockRandom.nextDouble() - 1),
    )

    private fun begin(fault: PlannedFault) {
        val victim = running[fault.victim]
        when (fault.kind) {
            FaultKind.KILL -> killAndRestart(fault)
            FaultKind.PAUSE -> pause(victim, fault.duration)
            FaultKind.PAUSE_AT_SEND -> network.beforeSend = { pauseOnce(it, fault.duration) }
            FaultKind.PARTITION -> network.cut(
                victim,
                Target.entries[fault.detail % Target.entries.size],
                fault.duration,
            )
            FaultKind.RECEIVER_CRASH -> crashReceiver(fault.detail)
            FaultKind.LOST_ANSWER -> network.lostStoreResponses += 1 + fault.detail % MAX_LOST_RESPONSES
            else -> applyFor(fault)
        }
    }

    private fun applyFor(fault: PlannedFault) {
        setActive(fault.kind, active = true)
        time.after(fault.duration) { setActive(fault.kind, active = false) }
    }

    private fun setActive(kind: FaultKind, active: Boolean) {
        when (kind) {
            FaultKind.DELAY -> network.extraDelay = if (active) MAX_EXTRA_DELAY else Duration.ZERO
            FaultKind.LOSS -> network.lossShare = if (active) LOSS_SHARE else 0.0
            FaultKind.DUPLICATION -> network.duplicateShare = if (active) HALF else 0.0
            FaultKind.STORE_OUTAGE -> network.storeDown = active
            else -> error("$kind has no duration.")
        }
    }

    private fun pauseOnce(process: VirtualProcess, duration: Duration) {
        network.beforeSend = {}
        pause(process, duration)
    }

    private fun pause(process: VirtualProcess, duration: Duration) {
        process.pause()
        time.after(duration) { process.resume() }
    }

    private fun killAndRestart(fault: PlannedFault) {
        running[fault.victim].kill()
        time.after(fault.duration / 2) {
            running[fault.victim].kill()
            running[fault.victim] = newProcess(fault.victim)
            boot(fault.victim, running[fault.victim])
        }
    }

    private companion object {
        const val HALF = 0.5
        const val RATE_SPREAD = 0.01
        const val LOSS_SHARE = 0.3
        const val MAX_LOST_RESPONSES = 4
        val START_SPREAD = 500.milliseconds
        val WALL_SKEW = 5.seconds
        val MAX_EXTRA_DELAY = 3.seconds
    }
}
