package org.persimmonrelay.experiment.laws

import org.persimmonrelay.engine.EngineAddress
import org.persimmonrelay.engine.EngineCommand
import org.persimmonrelay.engine.EngineCommandResult
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.standin.StandInServerOrders
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** One schedule in which several processes send orders to two engines. */
internal class EngineOrderSchedule(private val seed: Long, private val checksFencing: Boolean) {
    private val world = VirtualWorld(seed, FleetProcesses.PROCESSES, FaultKind.entries)

    /** Number of orders that engines executed in [runOurs], except conflicting ones. */
    var executed: Int = 0
        private set

    fun runOurs(): Boolean {
        val engines = engines { "intent/domain/engine/$it" }
        FleetProcesses(world, engines, { StandInServerOrders() }, FleetProcesses::engineChange).run()
        executed = engines.values.sumOf { it.ledger.executed }
        return holds(engines)
    }

    fun runNaive(): Boolean {
        val engines = engines { null }
        world.run(SETTLE) { _, process ->
            val client = VirtualEngineClient(world.network, process, engines)
            engines.values.forEach { NaiveOrders(world, process, Random(seed), naiveSender(client, it)).start() }
        }
        return holds(engines)
    }

    private fun naiveSender(client: VirtualEngineClient, engine: VirtualEngine): suspend (Long, Long, Int) -> Boolean =
        { number, epoch, _ ->
            val operation = OperationId("order-${engine.id}-$number-$epoch")
            val order = EngineCommand.LoadModel(operation, epoch, "model-$number")
            client.execute(EngineAddress(engine.id.value), order).fold({
                false
            }, { it is EngineCommandResult.Accepted })
        }

    private fun engines(intentKey: (ServerId) -> String?): Map<String, VirtualEngine> {
        val engines = listOf("engine1", "engine2").map { name ->
            val id = ServerId(name)
            VirtualEngine(id, checksFencing, world.time, OrderLedger(world, intentKey(id)))
        }
        world.crashReceiver = { detail -> engines[detail % engines.size].crash() }
        return engines.associateBy { it.id.value }
    }

    private fun holds(engines: Map<String, VirtualEngine>): Boolean =
        engines.values.all { it.ledger.conflicts == 0 && it.ledger.unauthorized == 0 }

    private companion object {
        val SETTLE = 40.seconds
    }
}
