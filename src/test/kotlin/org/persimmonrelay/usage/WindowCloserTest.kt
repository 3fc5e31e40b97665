package org.persimmonrelay.usage

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.WorkspaceId
import org.persimmonrelay.lease.HolderId
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.SchedulerClock
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.platform.Transaction
import org.persimmonrelay.platform.Write
import org.persimmonrelay.standin.StandInTable
import org.persimmonrelay.standin.StandInUsageReports
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class WindowCloserTest {
    private val service = StandInTable()
    private val reports = StandInUsageReports()
    private var operations = 0

    @Test
    fun `a report whose answer was lost is sent again with the same bytes`() = runTest {
        val meter = node()
        reports.faults.loseNextResponses = 2
        meter.record(WORKSPACE, promptTokens = 10, outputTokens = 2)
        delay(8.minutes)

        assertEquals(3, reports.received.size)
        assertEquals(1, reports.received.distinct().size)
        assertTrue("\"promptTokens\":10" in reports.received.first().body)
    }

    @Test
    fun `usage during a long store outage is reported once after the outage`() = runTest {
        val meter = node()
        delay(1.minutes)
        service.faults.down = true
        repeat(60) {
            meter.record(WORKSPACE, promptTokens = 1, outputTokens = 0)
            delay(1.minutes)
        }
        val inOutage = reports.received.size
        service.faults.down = false
        delay(15.minutes)

        assertEquals(0, inOutage)
        assertEquals(60, reports.received.sumOf { promptTokens(it.body) })
        assertEquals(emptySet(), reports.conflictingWindows)
    }

    @Test
    fun `a window waits for the counts of a node that can't reach the store`() = runTest {
        val settings = UsageSettings(maxGrace = 4.minutes)
        node(settings)
        val nodeTable = DisconnectableTable(service)
        val recorder = recorder("b-1", nodeTable, settings)
        delay(2.minutes)
        recorder.record(WORKSPACE, promptTokens = 7, outputTokens = 0)
        nodeTable.isDisconnected = true
        delay(5.minutes)
        assertEquals(0, reports.received.sumOf { promptTokens(it.body) })

        nodeTable.isDisconnected = false
        delay(2.minutes)

        assertEquals(7, reports.received.sumOf { promptTokens(it.body) })
        assertTrue(reports.received.none { "adjustmentOf" in it.body })
    }

    @Test
    fun `a window does not wait for a node that has stopped`() = runTest {
        val settings = UsageSettings(maxGrace = 4.minutes)
        val meter = node(settings)
        val nodeTable = DisconnectableTable(service)
        recorder("b-1", nodeTable, settings)
        delay(2.minutes)
        nodeTable.isDisconnected = true
        meter.record(WORKSPACE, promptTokens = 7, outputTokens = 0)
        delay(9.minutes)

        assertEquals(7, reports.received.sumOf { promptTokens(it.body) })
    }

    @Test
    fun `segments that are too many for one transaction are merged, and each counts once`() = runTest {
        val settings = UsageSettings(maxSegmentsPerWindow = 4)
        node(settings)
        val meters = List(9) { recorder("n$it-1", service, settings) }
        repeat(8) {
            meters.forEach { meter -> meter.record(WORKSPACE, promptTokens = 1, outputTokens = 0) }
            delay(30.seconds)
        }
        delay(10.minutes)

        assertEquals(72, reports.received.sumOf { promptTokens(it.body) })
        assertTrue(reports.received.none { "adjustmentOf\":\"" in it.body })
    }

    @Test
    fun `a segment that can't be read is left out and the others are reported`() = runTest {
        val meter = node()
        val damaged = Write.Put("usage/segment/0/other/000000000001", "{not a segment")
        service.commit(Transaction(OperationId("damage"), emptyList(), listOf(damaged)))
        meter.record(WORKSPACE, promptTokens = 10, outputTokens = 2)
        delay(8.minutes)

        assertEquals(10, reports.received.sumOf { promptTokens(it.body) })
    }

    private fun promptTokens(body: String): Int =
        Regex("\"promptTokens\":(\\d+)").findAll(body).sumOf { it.groupValues[1].toInt() }

    private fun TestScope.recorder(incarnation: String, service: TableService, settings: UsageSettings): UsageMeter {
        val clock = SchedulerClock(this)
        val table = ReliableTable(service, clock, Random(2))
        return UsageRecorder(table, clock, Incarnation(incarnation), settings = settings)
            .apply { start(backgroundScope) }
    }

    private fun TestScope.node(settings: UsageSettings = UsageSettings()): UsageMeter {
        val clock = SchedulerClock(this)
        val table = ReliableTable(service, clock, Random(1))
        val newOperation = { OperationId("op-${operations++}") }
        val incarnation = Incarnation("a-1")
        val leases = LeaseManager(
            table = table,
            self = HolderId(NodeId("a"), incarnation),
            clock = clock,
            random = Random(1),
            evidence = { _, _, _ -> false },
            liveNodes = { NODES },
            newOperation = newOperation,
        )
        WindowCloser(table, reports, leases, clock, shard = 0, newOperation, settings = settings).start(backgroundScope)
        return recorder(incarnation.value, service, settings)
    }

    private companion object {
        val WORKSPACE = WorkspaceId("w")
        val NODES = listOf(NodeId("a"))
    }
}
