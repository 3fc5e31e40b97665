package org.persimmonrelay.experiment.laws

import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.lease.PredecessorEvidence
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.standin.StandInTable
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures the table and CPU load of [nodes] nodes that compete for the leases of [duties] duties, without faults. */
internal class LeaseLoad(private val nodes: Int, private val duties: Int) {
    private val time = VirtualTime()
    private val random = Random(nodes)
    private val network = VirtualNetwork(time, random)
    private val table = StandInTable()
    private val nodeIds = List(nodes) { NodeId("node-$it") }
    private var operations = 0

    fun measure(): LeaseCost {
        nodeIds.indices.forEach(::start)
        runFor(WARM_UP)
        val reads = table.reads
        val writes = table.writes
        val cpuNanosBefore = cpuNanos()
        runFor(MEASURED)
        val cpuMicros = (cpuNanos() - cpuNanosBefore) / NANOS_PER_MICRO
        val seconds = MEASURED.toDouble(DurationUnit.SECONDS)
        return LeaseCost(
            nodes = nodes,
            duties = duties,
            readsPerSecond = (table.reads - reads) / seconds,
            writesPerSecond = (table.writes - writes) / seconds,
            processorMicrosPerNodeSecond = cpuMicros / nodes / seconds,
        )
    }

    private fun start(index: Int) {
        val process = VirtualProcess(time, "$index-1")
        val client = ReliableTable(
            service = VirtualTable(network, process, table),
            clock = process.clock,
            random = random,
        )
        val manager = LeaseManager(
            table = client,
            self = holderId(index, process),
            clock = process.clock,
            random = random,
            evidence = PredecessorEvidence { _, _, _ -> false },
            liveNodes = { nodeIds },
            newOperation = { OperationId("op-${operations++}") },
        )
        time.after(2.seconds * random.nextDouble()) {
            repeat(duties) { manager.compete(process.scope, Duty("duty-$it")) }
        }
    }

    private fun runFor(duration: Duration) = time.runUntil(Moment(time.now.nanos + duration.inWholeNanoseconds))

    private fun cpuNanos(): Long = ManagementFactory.getThreadMXBean().currentThreadCpuTime

    private companion object {
        const val NANOS_PER_MICRO = 1_000.0
        val WARM_UP = 240.seconds
        val MEASURED = 120.seconds
    }
}
