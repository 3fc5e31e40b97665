package org.persimmonrelay.quarantine

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.persimmonrelay.backend.BackendServer
import org.persimmonrelay.backend.BackendServers
import org.persimmonrelay.backend.PromptPart
import org.persimmonrelay.backend.RequestProfile
import org.persimmonrelay.backend.ServerInstance
import org.persimmonrelay.clock.Clock
import org.persimmonrelay.clock.Moment
import org.persimmonrelay.identity.OperationId
import org.persimmonrelay.identity.ServerId
import org.persimmonrelay.platform.ReliableTable
import org.persimmonrelay.standin.StandInTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Nodes in virtual time that share a ledger through a table and send requests to engines. Either a shared part of
 * prompts is [DEADLY], or with [isWholeRequestDeadly] one request that comes again. An engine that begins to answer a
 * prompt with [DEADLY] ends [CRASH_AFTER] later, breaks its other requests, and is back after [BACK_AFTER]. Each node
 * reads the row [feedDelay] after it has changed, a share [lostUpdates] of the times only after [LATE_READ].
 */
internal class QuarantineFleet(
    private val scope: TestScope,
    nodeCount: Int,
    serverCount: Int,
    seed: Int,
    private val lostUpdates: Double = 0.0,
    private val isWholeRequestDeadly: Boolean = false,
) {
    private val random = Random(seed)
    private val dispatcher = StandardTestDispatcher(scope.testScheduler)
    val table = StandInTable().apply { faults.delay = 5.milliseconds }
    private val clock = object : Clock {
        override fun now() = Moment(scope.currentTime * NANOS_PER_MILLI)

        override fun wallMillis() = START_MILLIS + scope.currentTime
    }
    val nodes = MutableList(nodeCount) { Node() }
    private val engines = List(serverCount) { Engine(it) }
    private val feedDelay = (10.milliseconds * nodeCount).coerceAtMost(600.milliseconds)

    /** When servers ended, in milliseconds of virtual time. */
    val lossTimes = ArrayList<Long>()

    /** When requests with the deadly part were sent to servers, in milliseconds of virtual time. */
    val deadlySends = ArrayList<Long>()
    var soundRefused = 0
    var soundSent = 0

    inner class Node {
        val quarantine = RequestQuarantine { _, _ -> }
        private val exchange = LedgerExchange(
            table = ReliableTable(table, clock, random),
            quarantine = quarantine,
            quarantineThread = dispatcher,
            nodeCount = { nodes.size },
            wallClock = clock,
            random = random,
            newOperation = { OperationId("op${random.nextLong()}") },
            events = { _, _ -> },
        )
        private val writing = scope.backgroundScope.launch { exchange.run() }
        private val reading = scope.backgroundScope.launch { follow() }

        private suspend fun follow() {
            var seen: String? = null
            while (true) {
                delay(if (random.nextDouble() < lostUpdates) LATE_READ else feedDelay)
                val value = table.read(listOf(LedgerExchange.ROW_KEY)).getOrNull()?.firstOrNull()?.value
                if (value != null && value != seen) exchange.received(value)
                seen = value
            }
        }

        suspend fun storeRestored() = exchange.storeRestored()

        fun stop() {
            writing.cancel()
            reading.cancel()
        }
    }

    private inner class Engine(private val index: Int) {
        private var starts = 0
        private var isUp = true
        private val running = ArrayList<Pair<Node, List<PromptPart>>>()
        val isAvailable get() = isUp
        private val server: BackendServer
            get() = BackendServers.server(
                "s$index",
            ).copy(instance = ServerInstance(ServerId("s$index"), starts.toLong()))

        suspend fun serve(node: Node, prompt: List<PromptPart>) {
            val request = node to prompt
            running += request
            if (prompt.any { it.id == DEADLY }) {
                delay(CRASH_AFTER)
                if (isUp && request in running) end()
            } else {
                delay(SOUND_TIME)
                if (running.remove(request)) node.quarantine.responseCompleted(suspects(prompt), clock.wallMillis())
            }
        }

        private fun end() {
            isUp = false
            lossTimes += scope.currentTime
            val now = clock.wallMillis()
            val loss = ServerLoss(server.instance.id, server.instance.startedAtMillis, now)
            running.forEach { (node, prompt) -> node.quarantine.serverLost(loss, suspects(prompt), now) }
            running.clear()
            scope.backgroundScope.launch {
                delay(BACK_AFTER)
                starts++
                isUp = true
            }
        }
    }

    /** True if [node] refuses requests with the deadly part. */
    fun refuses(node: Node): Boolean = node.quarantine.quarantined(suspects(deadlyPrompt()), clock.wallMillis()) != null

    /** The store comes back from a copy that was made before the first observation. */
    suspend fun restoreStore() {
        table.restore(emptyList())
        nodes.forEach { it.storeRestored() }
    }

    /** Stops a random node and puts a new one, which knows nothing, in its place. */
    fun restartNode() {
        val index = random.nextInt(nodes.size)
        nodes[index].stop()
        nodes[index] = Node()
    }

    fun addNode() {
        nodes += Node()
    }

    /** Sends sound requests and, from [deadlyFrom] on, deadly ones at random nodes until [until]. */
    suspend fun run(soundPerSecond: Int, deadlyPerSecond: Int, deadlyFrom: Duration, until: Duration) {
        scope.backgroundScope.launch {
            while (true) {
                delay((1.seconds / soundPerSecond) * random.nextDouble(0.0, 2.0))
                scope.backgroundScope.launch { sound() }
            }
        }
        scope.backgroundScope.launch {
            delay(deadlyFrom)
            while (true) {
                delay((1.seconds / deadlyPerSecond) * random.nextDouble(0.0, 2.0))
                scope.backgroundScope.launch { deadly() }
            }
        }
        delay(until)
    }

    private suspend fun sound() {
        val prompt = listOf(part("system${random.nextInt(40)}"), part("history${random.nextInt(112)}"), own())
        soundSent++
        if (!send(prompt)) soundRefused++
    }

    /** Resumed once at another server, as a route with two attempts does. */
    private suspend fun deadly() {
        val prompt = deadlyPrompt()
        repeat(2) { if (!send(prompt)) return }
    }

    private fun deadlyPrompt(): List<PromptPart> {
        val system = part("system${random.nextInt(40)}")
        return if (isWholeRequestDeadly) listOf(system, part(DEADLY)) else listOf(system, part(DEADLY), own())
    }

    private suspend fun send(prompt: List<PromptPart>): Boolean {
        val node = nodes.random(random)
        val refusing = node.quarantine.quarantined(suspects(prompt), clock.wallMillis())
        if (refusing != null) {
            node.quarantine.refused(refusing, clock.wallMillis())
            return false
        }
        val engine = engines.filter { it.isAvailable }.randomOrNull(random) ?: return true
        if (prompt.any { it.id == DEADLY }) deadlySends += scope.currentTime
        engine.serve(node, prompt)
        return true
    }

    private fun suspects(prompt: List<PromptPart>) =
        Suspect.of(RequestProfile(BackendServers.ENGINES, prompt, contentHash = prompt.last().id))

    private fun part(id: String) = PromptPart(id, 100)

    private fun own() = part("own${random.nextLong()}")

    companion object {
        const val DEADLY = "deadly"
        val CRASH_AFTER = 100.milliseconds
        val BACK_AFTER = 4.seconds
        val SOUND_TIME = 300.milliseconds
        val LATE_READ = 1_500.milliseconds
        private const val START_MILLIS = 1_787_371_252_000
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
