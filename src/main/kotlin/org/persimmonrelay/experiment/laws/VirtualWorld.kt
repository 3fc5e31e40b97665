package org.persimmonrelay.experiment.laws

import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.standin.StandInTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A few processes around one table, with a plan of faults; the same [seed] gives the same faults whatever the
 * processes do.
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

    /** Present incarnation of each process, by its place. */
    val running: MutableList<VirtualProcess> = mutableListOf()

    /** Called when a receiver of orders crashes; [Fault.detail] picks one. */
    var crashReceiver: (Int) -> Unit = {}

    /** True when the plan kills a process, so that what it kept in memory is lost. */
    val hadKills: Boolean
        get() = plan.faults.any { it.kind == FaultKind.KILL }

    private val plan = FaultPlan(Random(seed), processes, kinds, within)
    private val rates = Random(seed + 1)
    private var operations = 0
    private lateinit var boot: (Int, VirtualProcess) -> Unit
    private val lives = IntArray(processes)

    fun newOperation(): OperationId = OperationId("op-${operations++}")

    /** The reliable client of [process]. */
    fun reliable(process: VirtualProcess): ReliableTable =
        ReliableTable(VirtualTable(network, process, table), process.clock, random)

    /** Starts all processes with [boot] and the faults, and runs until [settle] after the last may begin. */
    fun run(settle: Duration, afterEach: () -> Unit = {}, boot: (Int, VirtualProcess) -> Unit) {
        this.boot = boot
        repeat(processes) { place ->
            running += newProcess(place)
            time.after(START_SPREAD * random.nextDouble()) { boot(place, running[place]) }
        }
        plan.faults.forEach { fault -> time.after(fault.at) { begin(fault) } }
        time.runUntil(time.now + within + settle, afterEach)
    }

    private fun newProcess(place: Int): VirtualProcess = VirtualProcess(
        time = time,
        name = "$place-${++lives[place]}",
        rate = 1 + (rates.nextDouble() - HALF) * RATE_SPREAD,
        wallSkew = WALL_SKEW * (2 * rates.nextDouble() - 1),
    )

    private fun begin(fault: Fault) {
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
            FaultKind.LOST_ANSWER -> network.lostStoreAnswers += 1 + fault.detail % MAX_LOST_ANSWERS
            else -> disturb(fault)
        }
    }

    private fun disturb(fault: Fault) {
        set(fault.kind, on = true)
        time.after(fault.duration) { set(fault.kind, on = false) }
    }

    private fun set(kind: FaultKind, on: Boolean) {
        when (kind) {
            FaultKind.DELAY -> network.extraDelay = if (on) EXTRA_DELAY else Duration.ZERO
            FaultKind.LOSS -> network.lossShare = if (on) LOSS_SHARE else 0.0
            FaultKind.DUPLICATION -> network.duplicateShare = if (on) HALF else 0.0
            FaultKind.STORE_OUTAGE -> network.storeDown = on
            else -> error("$kind does not last.")
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

    private fun killAndRestart(fault: Fault) {
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
        const val MAX_LOST_ANSWERS = 4
        val START_SPREAD = 500.milliseconds
        val WALL_SKEW = 5.seconds
        val EXTRA_DELAY = 3.seconds
    }
}
