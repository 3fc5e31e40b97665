package org.persimmonrelay.experiment.laws

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.engine.EngineRole
import org.persimmonrelay.fleet.FleetClients
import org.persimmonrelay.fleet.FleetManager
import org.persimmonrelay.fleet.ManagedServer
import org.persimmonrelay.fleet.ServerChange
import org.persimmonrelay.fleet.ServerDrainer
import org.persimmonrelay.identity.FailureDomain
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.lease.Duty
import org.persimmonrelay.lease.LeaseManager
import org.persimmonrelay.platform.Host
import org.persimmonrelay.platform.HostList
import org.persimmonrelay.platform.PriceClass
import org.persimmonrelay.platform.ServerOrders
import org.persimmonrelay.platform.StoreUnavailable
import org.persimmonrelay.platform.WeightStore
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The processes of an order law. Each competes for the lease of one failure domain, and requests random changes of its
 * servers at random times; the fleet manager sends orders only while the lease is held.
 */
internal class FleetProcesses(
    private val world: VirtualWorld,
    private val engines: Map<String, VirtualEngine>,
    private val ordersOf: (VirtualProcess) -> ServerOrders,
    private val drawChange: (Random) -> ServerChange,
) {
    private val leases = arrayOfNulls<LeaseManager>(PROCESSES)

    fun run() {
        world.run(SETTLE) { index, process -> boot(index, process) }
    }

    private fun boot(index: Int, process: VirtualProcess) {
        val manager = leaseManager(world, index, process, VirtualEvidence(world, process, leases))
        leases[index] = manager
        manager.compete(process.scope, DUTY)
        val client = VirtualEngineClient(world.network, process, engines)
        val fleet = FleetManager(
            table = world.reliableTable(process),
            leases = manager,
            clients = FleetClients(client, ordersOf(process), NO_HOST_LIST, WEIGHT_STORE),
            drainer = FAST_DRAINER,
            clock = process.clock,
            domains = { 1 },
            newOperation = world::newOperation,
            orderWait = ORDER_WAIT,
        )
        engines.values.forEach { engine ->
            process.scope.launch { requestRandomChanges(fleet, server(engine), process) }
        }
    }

    private suspend fun requestRandomChanges(fleet: FleetManager, server: ManagedServer, process: VirtualProcess) {
        val random = Random(process.name.hashCode() + server.id.value.hashCode())
        while (true) {
            fleet.change(server, drawChange(random))
            delay(MAX_PAUSE * random.nextDouble())
        }
    }

    companion object {
        const val PROCESSES = 3
        val DUTY = Duty.fleet(FailureDomain("domain"))
        private val SETTLE = 40.seconds
        private val MAX_PAUSE = 6.seconds
        private val ORDER_WAIT = 13.seconds
        private val WEIGHT_STORE = object : WeightStore {
            override suspend fun loadsPerMinute(): Either<StoreUnavailable, Int> = LOADS_PER_MINUTE.right()
        }
        private val NO_HOST_LIST = object : HostList {
            override suspend fun hosts(): Either<StoreUnavailable, List<Host>> =
                StoreUnavailable("No host list in this experiment.").left()
        }
        private val FAST_DRAINER = object : ServerDrainer {
            override suspend fun drain(server: ServerId): Boolean {
                delay(200.milliseconds)
                return true
            }

            override suspend fun readmit(server: ServerId) = Unit
        }
        private const val LOADS_PER_MINUTE = 600

        fun server(engine: VirtualEngine) = ManagedServer(
            id = engine.id,
            address = EngineAddress(engine.id.value),
            domain = FailureDomain("domain"),
            checksFencing = engine.checksFencing,
        )

        /** Draws a change of role or model of an engine. */
        fun engineChange(random: Random): ServerChange = if (random.nextBoolean()) {
            ServerChange.Role(
                ROLES.random(random),
            )
        } else {
            ServerChange.Load("model-${random.nextInt(MODELS)}")
        }

        /** Draws a start or stop of a server. */
        fun platformChange(random: Random): ServerChange =
            if (random.nextBoolean()) ServerChange.Start(PriceClass.CHEAP, "model") else ServerChange.Stop

        private const val MODELS = 3
        private val ROLES = EngineRole.entries
    }
}
