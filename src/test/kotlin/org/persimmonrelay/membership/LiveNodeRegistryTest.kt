package org.persimmonrelay.membership

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.persimmonrelay.http.ServerAddress
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.SchedulerClock
import org.persimmonrelay.standin.StandInTable
import org.persimmonrelay.usage.TableClient
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class LiveNodeRegistryTest {
    private val table = StandInTable(restores = 1)
    private val jobs = HashMap<String, Job>()
    private var operations = 0

    /** Guards against a node that is taken for stopped because the restored store has lost its row. */
    @Test
    fun `nodes whose rows the restored store has lost count as running`() = runTest {
        for (count in listOf(3, 100, 300)) {
            val before = table.copy()
            val registries = List(count) { registry("n$it") }
            delay(40.seconds)
            assertTrue(registries.all { it.liveNodes.size == count }, "$count nodes before")

            table.restore(before)

            repeat(60) {
                delay(1.seconds)
                assertTrue(registries.all { it.liveNodes.size == count }, "$count nodes, second $it")
            }
            jobs.values.forEach { it.cancel() }
            registries.forEach { it.deregister() }
        }
    }

    @Test
    fun `a node that has stopped does not stay because the store was restored`() = runTest {
        val registries = List(3) { registry("n$it") }
        delay(10.seconds)
        val copy = table.copy()
        jobs.getValue("n2").cancel()
        registries[2].deregister()
        delay(10.seconds)
        assertEquals(2, registries[0].liveNodes.size)

        table.restore(copy)
        delay(25.seconds)

        assertEquals(2, registries[0].liveNodes.size)
    }

    private fun TestScope.registry(name: String): LiveNodeRegistry {
        val clock = SchedulerClock(this)
        val random = Random(name.hashCode())
        val self = UdpPeer(NodeId(name), FailureDomain("a"), ServerAddress("127.0.0.1", 1))
        val reliable = ReliableTable(TableClient(table), clock, random)
        val newOperation = { OperationId("o${operations++}") }
        val registry = LiveNodeRegistry(reliable, self, Incarnation(name), clock, newOperation, random) { _, _ -> }
        jobs[name] = backgroundScope.launch { registry.run() }
        return registry
    }
}
