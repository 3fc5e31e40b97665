package org.persimmonrelay.catalog

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.TableService
import org.persimmonrelay.standin.StandInObjectStore
import org.persimmonrelay.standin.StandInTable
import org.persimmonrelay.timeline.EventSink
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class CatalogRepositoryTest {
    private val table = StandInTable()
    private val objects = StandInObjectStore()

    @Test
    fun `changes of two nodes get consecutive versions and reach both nodes`() = runTest {
        val one = Node(this, 1)
        val two = Node(this, 2)

        one.apply(Workspace("a"))
        two.apply(Workspace("b"))
        one.repository.catchUp()

        assertEquals(listOf("a", "b"), one.state.current.objects.map { it.name })
        assertEquals(2, one.state.current.version)
    }

    @Test
    fun `a change whose commit response was lost is reported as stored`() = runTest {
        val node = Node(this, 2, ResponseLosingTable(table, lostResponses = 1))

        val stored = assertIs<CatalogChangeResult.Stored>(node.apply(Workspace("a")).getOrNull())

        assertEquals(1, stored.version)
        assertEquals(1, Node(this, 1).repository.catchUp().getOrNull())
        assertEquals(stored.operation, node.repository.deltaOf(1).getOrNull()?.operation)
    }

    @Test
    fun `an outage during the commit gives an unknown outcome with the operation id`() = runTest {
        val node = Node(this, 1, ResponseLosingTable(table, lostResponses = 1, failsAfterwards = true))

        val failure = assertIs<ChangeFailure.OutcomeUnknown>(node.apply(Workspace("a")).leftOrNull())

        val stored = Node(this, 2).repository.deltaOf(failure.version).getOrNull()
        assertEquals(failure.operation, stored?.operation)
    }

    @Test
    fun `a change during an outage fails and is not stored`() = runTest {
        table.faults.down = true

        assertIs<ChangeFailure.Unavailable>(Node(this, 1).apply(Workspace("a")).leftOrNull())
        table.faults.down = false

        assertEquals(0, Node(this, 2).repository.catchUp().getOrNull())
    }

    @Test
    fun `an outdated expected version is a conflict that contains the current version`() = runTest {
        val node = Node(this, 1)
        node.apply(Workspace("a"))
        node.apply(Workspace("a", weight = 2))
        val stale = ExpectedVersion(ObjectRef(ObjectKind.WORKSPACE, "a"), 1)

        val byObject = node.apply(Workspace("a", weight = 3), ChangeRequest.of().copy(expected = listOf(stale)))
        val byHead = node.apply(Workspace("b"), ChangeRequest.of().copy(headVersion = 1))

        assertEquals(2, assertIs<ChangeFailure.Conflict>(byObject.leftOrNull()).current)
        assertEquals(2, assertIs<ChangeFailure.Conflict>(byHead.leftOrNull()).current)
    }

    @Test
    fun `a dry run and a put of an unchanged object write nothing`() = runTest {
        val node = Node(this, 1)
        node.apply(Workspace("a"))
        val writes = table.writes

        val dry = node.apply(Workspace("b"), ChangeRequest.of().copy(dryRun = true))
        val same = node.apply(Workspace("a"))

        assertIs<CatalogChangeResult.Checked>(dry.getOrNull())
        assertIs<CatalogChangeResult.Unchanged>(same.getOrNull())
        assertEquals(writes, table.writes)
    }

    @Test
    fun `after pruning, a new node loads the newest snapshot and the changes after it`() = runTest {
        val node = Node(this, 1)
        repeat(47) {
            node.apply(Workspace("w$it"))
            node.snapshots.writeIfDue(node.state.current)
            delay(200.milliseconds)
        }

        val newNode = Node(this, 2)
        newNode.repository.catchUp()

        assertEquals(node.state.current.objects, newNode.state.current.objects)
        assertEquals(47, newNode.state.current.version)
        assertEquals(3, objects.list(CatalogRows.SNAPSHOT_PREFIX).getOrNull()?.size)
        assertTrue(table.scan(CatalogRows.CHANGE_PREFIX).getOrNull()!!.size < 30)
    }

    @Test
    fun `an unreadable snapshot is skipped and the previous one is loaded`() = runTest {
        val node = Node(this, 1)
        repeat(20) {
            node.apply(Workspace("w$it"))
            node.snapshots.writeIfDue(node.state.current)
            delay(200.milliseconds)
        }
        objects.put(CatalogRows.snapshot(20), byteArrayOf(1, 2, 3))
        val newNode = Node(this, 2)

        newNode.snapshots.loadNewerThan(0)

        assertEquals(10, newNode.state.current.version)
    }

    private inner class Node(scope: TestScope, seed: Int, service: TableService = this@CatalogRepositoryTest.table) {
        val state = CatalogState(EventSink.NONE)
        private val table = ReliableTable(service, TestSchedulerClock(scope.testScheduler), Random(seed))
        private val operations = OperationIdGenerator(Random(seed))
        val snapshots = SnapshotRepository(objects, table, state, operations, EventSink.NONE, versionsPerSnapshot = 10)
        val repository = CatalogRepository(table, state, snapshots, operations, EventSink.NONE)

        suspend fun apply(value: CatalogObject, template: ChangeRequest = ChangeRequest.of()) = repository.apply(
            ChangeRequest.of(CatalogChange.Put(value)).copy(
                headVersion = template.headVersion,
                expected = template.expected,
                dryRun = template.dryRun,
            ),
        )
    }
}
