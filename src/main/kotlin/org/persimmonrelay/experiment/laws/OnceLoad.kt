package org.persimmonrelay.experiment.laws

import kotlinx.coroutines.launch
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.once.CallOutcome
import org.persimmonrelay.once.IdempotencyClaim
import org.persimmonrelay.once.IdempotentResult
import org.persimmonrelay.once.RecordedResponse
import org.persimmonrelay.once.TableIdempotencyManager
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.TableClientSettings
import org.persimmonrelay.standin.StandInTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures one node that gets [callsPerSecond] idempotent calls per second, at random times, without faults. */
internal class OnceLoad(private val callsPerSecond: Int) {
    private val time = VirtualTime()
    private val random = Random(callsPerSecond)
    private val table = StandInTable()
    private val process = VirtualProcess(time, "node-1")
    private val client = ReliableTable(
        service = VirtualTable(VirtualNetwork(time, random), process, table),
        clock = process.clock,
        random = random,
        settings = TableClientSettings(readsPerSecond = UNLIMITED, writesPerSecond = UNLIMITED),
    )
    private var operations = 0
    private val claimDurations = mutableListOf<Duration>()
    private var notRun = 0

    fun measure(): OnceCost {
        val manager = TableIdempotencyManager(
            table = client,
            scope = process.scope,
            clock = process.clock,
            node = NodeId("node"),
            incarnation = Incarnation("node-1"),
            liveness = { _, _ -> true },
            newOperation = { OperationId("op-${operations++}") },
        ).apply { start() }
        repeat(callsPerSecond * SECONDS) { call ->
            time.after(SECONDS.seconds * random.nextDouble()) { run(manager, call) }
        }
        time.runUntil(Moment.ZERO + (SECONDS + 1).seconds)
        val millis = claimDurations.map { it.toDouble(DurationUnit.MILLISECONDS) }
        return OnceCost(
            claimsPerSecond = callsPerSecond,
            transactionsPerSecond = client.counts.commits.sum().toDouble() / SECONDS,
            rowsWrittenPerSecond = table.writes.toDouble() / SECONDS,
            meanClaimMillis = millis.average(),
            longestClaimMillis = millis.max(),
            notRun = notRun,
        )
    }

    private fun run(manager: TableIdempotencyManager, call: Int) {
        val startedAt = time.now
        process.scope.launch {
            val result = manager.run(IdempotencyClaim(WorkspaceId("w"), "key-$call", "digest")) {
                claimDurations += time.now - startedAt
                CallOutcome.Answered(RecordedResponse(STATUS_OK, emptyList(), ""))
            }
            if (result is IdempotentResult.Refused) notRun++
        }
    }

    private companion object {
        const val SECONDS = 20
        const val STATUS_OK = 200
        const val UNLIMITED = 1_000_000.0
    }
}
