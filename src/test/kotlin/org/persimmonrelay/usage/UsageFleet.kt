package org.persimmonrelay.usage

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.lease.HolderId
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.node.relayLeaseTerms
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.Row
import org.persimmonrelay.platform.SchedulerClock
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.TableClientSettings
import org.persimmonrelay.platform.UsageReports
import org.persimmonrelay.standin.StandInTable
import org.persimmonrelay.standin.StandInUsageReports
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A report that [node] sent under the fencing token [token]. */
data class SentReport(val node: NodeId, val token: Long)

/**
 * Forwarding nodes in virtual time that count requests, store their counts and compete for the lease under which usage
 * windows are reported, with a store that can come back from an older copy. Each node counts ten requests a second.
 */
class UsageFleet(private val scope: TestScope, nodeCount: Int, seed: Int) {
    private val random = Random(seed)
    private val clock = SchedulerClock(scope)
    private val names = List(nodeCount) { NodeId("n$it") }
    private val nodes = HashMap<NodeId, Node>()
    private var starts = 0
    private var operations = 0
    val table = StandInTable(restores = 1).apply { faults.delay = 5.milliseconds }
    val reports = StandInUsageReports()

    /** In the order of arrival. */
    val sent = ArrayList<SentReport>()

    init {
        names.forEach { nodes[it] = Node(it) }
    }

    /** One run of the process of the node [name]. */
    private inner class Node(private val name: NodeId) {
        private val incarnation = Incarnation("$name-${starts++}")
        private val nodeScope =
            CoroutineScope(
                scope.backgroundScope.coroutineContext + SupervisorJob(scope.backgroundScope.coroutineContext.job),
            )
        val connection = DisconnectableTable(TableClient(table))
        private val reliable =
            ReliableTable(connection, clock, Random(random.nextInt()), TableClientSettings(maxBackoff = 1.seconds))
        private val newOperation = { OperationId("op-${operations++}") }
        private val leases = LeaseManager(
            table = reliable,
            self = HolderId(name, incarnation),
            clock = clock,
            random = Random(random.nextInt()),
            evidence = { _, _, _ -> true },
            liveNodes = { names },
            newOperation = newOperation,
            terms = relayLeaseTerms(3.seconds),
        )
        private val recorder = UsageRecorder(
            reliable,
            clock,
            incarnation,
            settings = SETTINGS,
            flushSchedule = WindowFlushSchedule(SETTINGS.window, { names.size }, Random(random.nextInt())),
        )

        init {
            WindowCloser(reliable, recordedReports(), leases, clock, 0, newOperation, settings = SETTINGS)
                .start(nodeScope)
            recorder.start(nodeScope)
            nodeScope.launch { count() }
        }

        private suspend fun count() {
            while (true) {
                delay(100.milliseconds)
                recorder.record(WORKSPACE, promptTokens = 1, outputTokens = 0)
            }
        }

        private fun recordedReports() = object : UsageReports {
            override suspend fun report(window: String, epoch: Long, body: String): Either<StoreUnavailable, Unit> {
                sent += SentReport(name, epoch)
                return reports.report(window, epoch, body)
            }
        }

        fun kill() = nodeScope.cancel()
    }

    /** Kills the node that sent the newest report and starts it again. */
    fun restartReporter() = restart(sent.last().node)

    fun stop() = nodes.values.forEach { it.kill() }

    fun restartAll() = names.forEach(::restart)

    private fun restart(name: NodeId) {
        nodes.getValue(name).kill()
        nodes[name] = Node(name)
    }

    /** A node that has not sent the latest report loses its connection to the store for [time]. */
    fun disconnectBystander(time: Duration) {
        val connection = nodes.getValue(names.first { it != sent.last().node }).connection
        scope.backgroundScope.launch {
            connection.isDisconnected = true
            delay(time)
            connection.isDisconnected = false
        }
    }

    /** The store is away for [away] and comes back from a copy that was made [age] before. */
    suspend fun restoreStore(age: Duration, away: Duration, meanwhile: () -> Unit = {}) {
        val copy: List<Row> = table.copy()
        delay(age)
        table.faults.down = true
        meanwhile()
        delay(away)
        table.restore(copy)
        table.faults.down = false
    }

    /** Requests of one window according to the newest report of it, by the window's start in milliseconds. */
    fun reportedRequests(): Map<Long, Long> = reports.received.associate { report ->
        report.window.substringBefore('-').toLong() to
            decodeReports(report.body).filter { it.adjustmentOf == null }.sumOf { it.requests }
    }

    companion object {
        val WORKSPACE = WorkspaceId("w")
        val SETTINGS = UsageSettings(
            window = 5.seconds,
            grace = 1_600.milliseconds,
            maxGrace = 6_500.milliseconds,
            closeEvery = 1.seconds,
        )
    }
}
