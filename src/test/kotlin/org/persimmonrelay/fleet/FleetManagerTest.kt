package org.persimmonrelay.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.engine.EngineClient
import org.persimmonrelay.engine.EngineCommand
import org.persimmonrelay.engine.EngineCommandResult
import org.persimmonrelay.engine.EngineFailure
import org.persimmonrelay.engine.EngineLoadReport
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.engine.GenerateRequest
import org.persimmonrelay.engine.OutputChunk
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.Incarnation
import org.persimmonrelay.identity.NodeId
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.HolderId
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.platform.Host
import org.persimmonrelay.platform.HostState
import org.persimmonrelay.platform.OrderAnswer
import org.persimmonrelay.platform.PriceClass
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.platform.SchedulerClock
import org.persimmonrelay.standin.StandInHostList
import org.persimmonrelay.standin.StandInServerOrders
import org.persimmonrelay.standin.StandInTable
import org.persimmonrelay.standin.StandInWeightStore
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class FleetManagerTest {
    private val service = StandInTable()
    private val engine = ScriptedEngine()
    private val hosts = StandInHostList()
    private val orders = StandInServerOrders()
    private val drainer = RecordingDrainer()
    private val weights = StandInWeightStore(limit = 60)
    private var operations = 0

    @Test
    fun `a role change is ordered after a drain, and the engine is readmitted when it reports the role`() = runTest {
        val fleet = manager()

        val result = fleet.change(SERVER, PREFILL)

        assertEquals(ServerChangeResult.Done, result)
        assertEquals(listOf("drain", "readmit"), drainer.calls)
        assertEquals(1, engine.carriedOut.size)
    }

    @Test
    fun `a drain that could not be announced stops the change before any order`() = runTest {
        drainer.succeeds = false

        val result = manager().change(SERVER, PREFILL)

        assertIs<ServerChangeResult.RetryLater>(result)
        assertEquals(emptyList(), engine.carriedOut)
    }

    @Test
    fun `an engine that crashed in the middle of a change gets the same operation again`() = runTest {
        engine.crashesBeforeDone = 1

        val result = manager().change(SERVER, PREFILL)

        assertEquals(ServerChangeResult.Done, result)
        assertEquals(2, engine.carriedOut.size)
        assertEquals(1, engine.carriedOut.map { it.operation }.distinct().size)
    }

    @Test
    fun `an unsettled order is settled before another change is ordered`() = runTest {
        val fleet = manager()
        engine.timesOut = true
        val first = fleet.change(SERVER, PREFILL)
        engine.timesOut = false

        val second = fleet.change(SERVER, ServerChange.Role(EngineRole.DECODE))
        val third = fleet.change(SERVER, ServerChange.Role(EngineRole.DECODE))

        assertIs<ServerChangeResult.Unsettled>(first)
        assertIs<ServerChangeResult.RetryLater>(second)
        assertEquals(ServerChangeResult.Done, third)
        assertEquals(
            listOf(EngineRole.PREFILL, EngineRole.DECODE),
            engine.carriedOut.distinctBy { it.operation }.map { (it as EngineCommand.ChangeRole).role },
        )
    }

    @Test
    fun `an unsettled order is sent again only after a drain`() = runTest {
        val fleet = manager()
        engine.timesOut = true
        fleet.change(SERVER, PREFILL)
        engine.timesOut = false
        drainer.succeeds = false

        val notDrained = fleet.change(SERVER, PREFILL)
        val orderedBeforeDrain = engine.carriedOut.size
        drainer.succeeds = true

        assertIs<ServerChangeResult.Unsettled>(notDrained)
        assertEquals(0, orderedBeforeDrain)
        assertEquals(ServerChangeResult.Done, fleet.change(SERVER, PREFILL))
    }

    @Test
    fun `an order to an engine whose host is gone ends as declined`() = runTest {
        val fleet = manager()
        engine.timesOut = true
        hosts.remove(SERVER.id)

        assertIs<ServerChangeResult.Declined>(fleet.change(SERVER, PREFILL))
    }

    @Test
    fun `with the store down nothing is ordered`() = runTest {
        val fleet = manager()
        service.faults.down = true

        val result = fleet.change(SERVER, PREFILL)

        assertTrue(result is ServerChangeResult.RetryLater || result is ServerChangeResult.NotLeaseHolder, "$result")
        assertEquals(emptyList(), engine.carriedOut)
    }

    @Test
    fun `a start whose answer was lost is repeated under its operation id and takes effect once`() = runTest {
        orders.faults.loseNextAnswers = 2

        val result = manager().change(SERVER, ServerChange.Start(PriceClass.CHEAP, "m"))

        assertEquals(ServerChangeResult.Done, result)
        assertEquals(1, orders.obeyed.size)
    }

    @Test
    fun `a declined start is settled, and the next one is a new order`() = runTest {
        var free = false
        val scarce = StandInServerOrders { if (free) OrderAnswer.Accepted else OrderAnswer.Declined("None left.") }
        val fleet = manager(scarce)
        val declined = fleet.change(SERVER, ServerChange.Start(PriceClass.CHEAP, "m"))
        free = true

        val accepted = fleet.change(SERVER, ServerChange.Start(PriceClass.CHEAP, "m"))

        assertIs<ServerChangeResult.Declined>(declined)
        assertEquals(ServerChangeResult.Done, accepted)
    }

    @Test
    fun `loads stay under this domain's share of the weight store's limit`() = runTest {
        weights.limit = 4
        val fleet = manager()
        val results = (1..600).map {
            delay(1.seconds)
            fleet.change(SERVER, ServerChange.Load("model-$it"))
        }

        val loads = results.count { it is ServerChangeResult.Done }
        assertTrue(loads in 5..20, "10 minutes at half of 4 loads a minute allow 20, not $loads")
    }

    private suspend fun TestScope.manager(platform: StandInServerOrders = orders): FleetManager {
        val clock = SchedulerClock(this)
        val table = ReliableTable(service, clock, Random(1))
        val newOperation = { OperationId("op-${operations++}") }
        hosts.put(HOST)
        val leases = LeaseManager(
            table = table,
            self = HolderId(NodeId("a"), Incarnation("a-1")),
            clock = clock,
            random = Random(1),
            evidence = { _, _, _ -> false },
            liveNodes = { NODES },
            newOperation = newOperation,
        )
        leases.compete(backgroundScope, Duty.fleet(SERVER.domain))
        delay(2.seconds)
        val clients = FleetClients(engine, platform, hosts, weights)
        return FleetManager(table, leases, clients, drainer, clock, { 2 }, newOperation, orderWait = 13.seconds)
    }

    private class RecordingDrainer : ServerDrainer {
        val calls = mutableListOf<String>()
        var succeeds = true

        override suspend fun drain(server: ServerId): Boolean {
            calls += "drain"
            return succeeds
        }

        override suspend fun readmit(server: ServerId) {
            calls += "readmit"
        }
    }

    /** Carries out orders at once, unless it is set to crash before completion or to time out. */
    private class ScriptedEngine : EngineClient {
        val carriedOut = mutableListOf<EngineCommand>()
        var crashesBeforeDone = 0
        var timesOut = false
        private var role = EngineRole.MIXED
        private var models = emptyList<String>()

        override fun generate(
            address: EngineAddress,
            request: GenerateRequest,
        ): Flow<Either<EngineFailure, OutputChunk>> = emptyFlow()

        override suspend fun loadReport(address: EngineAddress): Either<EngineFailure, EngineLoadReport> =
            if (timesOut) EngineFailure.TimedOut("silent").left() else report().right()

        override suspend fun execute(
            address: EngineAddress,
            command: EngineCommand,
        ): Either<EngineFailure, EngineCommandResult> {
            if (timesOut) return EngineFailure.TimedOut("silent").left()
            carriedOut += command
            if (crashesBeforeDone-- <= 0) finish(command)
            return EngineCommandResult.Accepted.right()
        }

        private fun finish(order: EngineCommand) {
            when (order) {
                is EngineCommand.ChangeRole -> role = order.role
                is EngineCommand.LoadModel -> models = listOf(order.model)
            }
        }

        private fun report() = EngineLoadReport(SERVER.id, "1", 1, role, models, 0, 0, 0, 0, 0)
    }

    private companion object {
        val SERVER =
            ManagedServer(ServerId("s"), EngineAddress("127.0.0.1:1"), FailureDomain("d"), checksFencing = true)
        val HOST = Host(SERVER.id, "127.0.0.1:1", SERVER.domain, "r", PriceClass.ORDINARY, HostState.LIVE, "1")
        val PREFILL = ServerChange.Role(EngineRole.PREFILL)
        val NODES = listOf(NodeId("a"))
    }
}
